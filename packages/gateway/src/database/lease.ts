import type {LogPosition, SessionValues} from '@pistachiorill/core';
import type {MemberConnection} from './member_connection.js';

/** Which members may run a statement. */
export type LeaseNeed =
  /** The primary, under a valid right to use it. */
  | {readonly kind: 'primary'}
  /** Any member that holds what the age and the session demand. */
  | {
      readonly kind: 'recent';
      readonly maxAgeMs: number;
      /** The session's last commit. */
      readonly seen: LogPosition | undefined;
    };

export interface LeaseRequest {
  readonly workspace: string;
  readonly values: SessionValues;
  readonly use: 'statement' | 'transaction';
  readonly need: LeaseNeed;
  /** Members that failed this statement. */
  readonly avoid: readonly string[];
  /** Regions to whose members the statement is confined; empty for all. */
  readonly regions: readonly string[];
  /** When the wait for a connection ends. */
  readonly until: number;
}

/** A connection that a statement or transaction may use. */
export interface Lease {
  readonly connection: MemberConnection;
  readonly member: string;
  readonly role: 'primary' | 'replica';
  /** The log position that a replica must hold. */
  readonly after: LogPosition | undefined;
}

/** Why there is no lease. Nothing was run. */
export interface LeaseRefusal {
  readonly kind:
    | 'no-primary'
    | 'primary-moving'
    | 'view-expired'
    | 'no-member'
    | 'overloaded'
    | 'rate-of-cold-member';
  readonly detail: string;
  readonly retryAfterMs: number;
}
