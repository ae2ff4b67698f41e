import type {Random} from '../common/random.js';
import type {SessionRequirement} from '../session/session_requirement.js';
import type {FreshnessLog} from './freshness.js';
import type {GroupView} from './group_view.js';
import type {Access} from './route.js';

/** The conditions that a statement sets for the member that executes it. */
export interface MemberRequest {
  readonly access: Access;
  /** The maximum age of the data; 0 requires current data. */
  readonly maxAgeMs: number;
  readonly requirement: SessionRequirement;
  /** When the statement stops waiting for a replica and uses the primary. */
  readonly replicaWaitUntil: number;
  /** Members to avoid because connections to them failed. */
  readonly avoid: readonly string[];
}

/** The member to send a statement to, or the reason to wait for one. */
export type MemberChoice =
  | {
      readonly kind: 'use';
      readonly backendServer: string;
      readonly servedBy: 'primary' | 'replica';
      readonly term: number;
    }
  | {readonly kind: 'wait'; readonly reason: 'replica-behind' | 'no-primary'};

/** Chooses a member from the current view of a group. */
export abstract class ReadPolicy {
  /**
   * Returns the member to use, or the reason to wait. `now` is in milliseconds
   * of the clock that the times in the view and the log refer to.
   */
  abstract choose(
    request: MemberRequest,
    view: GroupView,
    freshness: FreshnessLog,
    random: Random,
    now: number,
  ): MemberChoice;
}
