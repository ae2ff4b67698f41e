import type {ExpectedLoad, SessionValues} from '@pistachiorill/core';
import type {MemberConnection} from './member_connection.js';

/** A statement's or transaction's demand for a connection. */
export interface ConnectionRequest {
  readonly workspace: string;
  /** The priority of the route; 0 is the most urgent one. */
  readonly priority: number;
  readonly values: SessionValues;
  readonly use: 'statement' | 'transaction';
  /** The time at which the wait for a connection ends. */
  readonly until: number;
  /** The time at which the answer is due, if it is to be refused otherwise. */
  readonly dueAt?: number | undefined;
}

/** A queued request; either `grant` or `refuse` is called, once. */
export interface PoolWaiter extends ConnectionRequest {
  readonly grant: (connection: MemberConnection) => void;
  readonly refuse: (reason: PoolRefusal, load: ExpectedLoad) => void;
}

/** Why a pool granted no connection. */
export type PoolRefusal =
  | 'queue-full'
  /** A more urgent request of the workspace took its place in the queue. */
  | 'displaced'
  /** The expected wait was longer than the request may wait. */
  | 'wait-too-long'
  | 'wait-timed-out'
  /** The member takes no new work; another one may run the statement. */
  | 'pool-drained';

/** The part of a member's capacity that a pool may use. */
export interface MemberPoolLimits {
  /** The maximum number of open connections. */
  readonly connections: number;
  /** The number of idle connections that this VM may keep open. */
  readonly share: number;
  /** The maximum number of concurrent statements outside transactions. */
  readonly statements: number;
}
