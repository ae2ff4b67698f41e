import type {LogPosition} from '../session/log_position.js';

/** The replication role of a member in its group. */
export type MemberRole = 'primary' | 'replica';

/** The state that a member reports in reply to a poll. */
export interface MemberState {
  readonly role: MemberRole;
  /** The term in which the member currently accepts writes or replication. */
  readonly term: number;
  /** The position of the last log entry received. */
  readonly received: LogPosition;
  /** The position of the last log entry applied, which reads can see. */
  readonly applied: LogPosition;
  /** The highest term that the member was fenced at. */
  readonly fencedTerm: number;
  /** The VM that fenced the member at `fencedTerm`. */
  readonly fencedOwner: string;
  readonly connections: number;
  readonly connectionLimit: number;
  /** The number of statements that the member executes at a time. */
  readonly slots: number;
}
