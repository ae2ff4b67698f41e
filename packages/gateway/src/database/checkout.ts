import type {LogPosition, SessionValues} from '@pistachiorill/core';
import type {MemberConnection} from './member_connection.js';

/** Which members may run a statement. */
export type CheckoutRequirement =
  /** The primary, while the VM holds a valid primary lease. */
  | {readonly kind: 'primary'}
  /** Any member whose data is recent enough for the route and the session. */
  | {
      readonly kind: 'recent';
      /** The maximum age of the data that the route allows. */
      readonly maxAgeMs: number;
      /** The log position of the session's last commit. */
      readonly seen: LogPosition | undefined;
    };

/** A request for a connection to a member that meets the requirement. */
export interface CheckoutRequest {
  readonly workspace: string;
  /** The priority of the route; 0 is the most urgent one. */
  readonly priority: number;
  /** The session's values, to prefer a connection that has them set. */
  readonly values: SessionValues;
  readonly use: 'statement' | 'transaction';
  readonly requirement: CheckoutRequirement;
  /** Members on which earlier attempts of this statement failed. */
  readonly excluded: readonly string[];
  /** Regions whose members may run the statement; empty for all regions. */
  readonly regions: readonly string[];
  /** The time at which the wait for a connection ends. */
  readonly until: number;
  /**
   * The time at which the answer is due. A statement that is expected to be
   * answered later is refused at once; without it, one that is expected to wait
   * beyond `until`.
   */
  readonly dueAt?: number | undefined;
}

/** A connection that is checked out for one statement or transaction. */
export interface Checkout {
  readonly connection: MemberConnection;
  readonly member: string;
  /** The role in which the member is used. */
  readonly role: 'primary' | 'replica';
  /** The log position that a replica must have applied before it runs. */
  readonly after: LogPosition | undefined;
}

/** Why no connection was checked out. The statement was not run. */
export interface CheckoutRefusal {
  readonly kind:
    | 'no-primary'
    /** A primary change is in progress. */
    | 'primary-changing'
    /** This VM holds no valid primary lease. */
    | 'no-primary-lease'
    | 'no-member'
    | 'overloaded'
    /** The member warms up and its rate limit is used up. */
    | 'member-warming-up';
  readonly detail: string;
  readonly retryAfterMs: number;
}
