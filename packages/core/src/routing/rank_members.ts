import {covers} from '../session/log_position.js';
import type {LogPosition} from '../session/log_position.js';
import type {MemberRole} from './member_state.js';

/** What is known of a member when a statement is placed. */
export interface MemberLoad {
  readonly member: string;
  readonly role: MemberRole;
  readonly proximity: 'same-data-centre' | 'same-region' | 'other-region';
  /** Statements that run on it or wait for it, of this VM. */
  readonly inFlight: number;
  readonly slots: number;
  /** The mean time from sending a statement to its answer. */
  readonly meanMs: number;
  /** Whether a connection of the workspace is idle. */
  readonly connection: 'idle' | 'to-open';
  /** The log position up to which it served reads when it last answered. */
  readonly applied: LogPosition | undefined;
  /** Until when it is taken to be behind or failing. */
  readonly avoidUntil: number;
}

/** What a new connection costs its member and the caller. */
const OPEN_MS = 12;
/**
 * What a statement in another data centre costs: the round trip, and traffic
 * that is billed.
 */
const OTHER_DATA_CENTRE_MS = 12;
const OTHER_REGION_MS = 40;
/** Keeps reads off the primary, whose slots writes need. */
const PRIMARY_MS = 6;
/** A replica that last answered before the position may refuse the read. */
const MAYBE_BEHIND_MS = 4;

/**
 * Orders members for a read by the time until its answer is expected. Members
 * to avoid come last and only serve when no other can.
 */
export function rankForRead(
  members: readonly MemberLoad[],
  required: LogPosition | undefined,
  now: number,
): readonly string[] {
  return members
    .filter(item => item.role === 'primary' || required !== undefined)
    .map(item => ({
      member: item.member,
      avoided: item.avoidUntil > now ? 1 : 0,
      cost: expectedMs(item, required),
    }))
    .sort((a, b) => a.avoided - b.avoided || a.cost - b.cost)
    .map(item => item.member);
}

function expectedMs(
  load: MemberLoad,
  required: LogPosition | undefined,
): number {
  const waiting = Math.max(0, load.inFlight + 1 - load.slots);
  let cost = load.meanMs * (1 + waiting / Math.max(1, load.slots));
  if (load.connection === 'to-open') cost += OPEN_MS;
  if (load.proximity === 'same-region') cost += OTHER_DATA_CENTRE_MS;
  if (load.proximity === 'other-region') cost += OTHER_REGION_MS;
  if (load.role === 'primary') cost += PRIMARY_MS;
  else if (required && !(load.applied && covers(load.applied, required))) {
    cost += MAYBE_BEHIND_MS;
  }
  return cost;
}
