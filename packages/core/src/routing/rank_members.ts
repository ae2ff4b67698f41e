import {covers} from '../session/log_position.js';
import type {LogPosition} from '../session/log_position.js';
import type {MemberRole} from './member_state.js';

/** The load and position of a member, as used to route a statement. */
export interface MemberLoad {
  readonly member: string;
  readonly role: MemberRole;
  readonly proximity: 'same-data-centre' | 'same-region' | 'other-region';
  /** Statements of this VM that run on the member or wait for it. */
  readonly inFlight: number;
  /** The number of statements that the member executes at a time. */
  readonly slots: number;
  /** The mean time from sending a statement to receiving its answer. */
  readonly meanLatencyMs: number;
  /** Whether the workspace has an idle connection or must open one. */
  readonly connection: 'idle' | 'to-open';
  /** The applied log position that the member reported in its last answer. */
  readonly applied: LogPosition | undefined;
  /** The time until which the member is assumed to lag or fail. */
  readonly avoidUntil: number;
}

/** The cost of opening a connection, for the member and the caller. */
const OPEN_CONNECTION_COST_MS = 12;
/**
 * The cost of a statement in another data centre of the region: the round trip,
 * and traffic that is billed.
 */
const OTHER_DATA_CENTRE_COST_MS = 12;
const OTHER_REGION_COST_MS = 40;
/** Keeps reads off the primary, whose slots are needed for writes. */
const PRIMARY_COST_MS = 6;
/**
 * A replica whose last reported position is before the required one may refuse
 * the read.
 */
const POSSIBLE_LAG_COST_MS = 4;

/**
 * Orders the members for a read by their expected cost: the expected time to an
 * answer plus penalties, in milliseconds. Members to avoid come last, so they
 * serve the read only if no other member can. Without a required position only
 * the primary can serve the read.
 */
export function rankMembersForRead(
  members: readonly MemberLoad[],
  required: LogPosition | undefined,
  now: number,
): readonly string[] {
  return members
    .filter(item => item.role === 'primary' || required !== undefined)
    .map(item => ({
      member: item.member,
      avoided: item.avoidUntil > now ? 1 : 0,
      cost: expectedCostMs(item, required),
    }))
    .sort((a, b) => a.avoided - b.avoided || a.cost - b.cost)
    .map(item => item.member);
}

function expectedCostMs(
  load: MemberLoad,
  required: LogPosition | undefined,
): number {
  const waiting = Math.max(0, load.inFlight + 1 - load.slots);
  let cost = load.meanLatencyMs * (1 + waiting / Math.max(1, load.slots));
  if (load.connection === 'to-open') cost += OPEN_CONNECTION_COST_MS;
  if (load.proximity === 'same-region') cost += OTHER_DATA_CENTRE_COST_MS;
  if (load.proximity === 'other-region') cost += OTHER_REGION_COST_MS;
  if (load.role === 'primary') cost += PRIMARY_COST_MS;
  else if (required && !(load.applied && covers(load.applied, required))) {
    cost += POSSIBLE_LAG_COST_MS;
  }
  return cost;
}
