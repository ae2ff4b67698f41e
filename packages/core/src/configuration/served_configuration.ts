import type {QuotaLimits} from '../quota/quota_limits.js';

/** Which members may serve a route's reads. */
export type ReadConsistency =
  /** All acknowledged commits. */
  | 'strict'
  /** Commits older than the route's greatest age. */
  | 'bounded-age'
  /** As `bounded-age`, and all commits of the same session. */
  | 'own-writes';

/** How the statements for one database name are treated. */
export interface DatabaseRoute {
  readonly name: string;
  /** The name that callers connect to. */
  readonly database: string;
  /** The group of members that holds the data. */
  readonly group: string;
  readonly consistency: ReadConsistency;
  readonly maxAgeMs: number;
  /** The time limit of one statement. */
  readonly statementTimeoutMs: number;
  /** The time in which a whole operation should end. */
  readonly targetMs: number;
  /** 0 goes first. */
  readonly priority: number;
  readonly audience: 'keyed' | 'open';
  /** Regions to whose members the route is confined; empty for all. */
  readonly regions: readonly string[];
}

/** What the configuration says of a group of members. */
export interface GroupSettings {
  readonly name: string;
  /** Connections that a member accepts from all VMs together. */
  readonly connectionLimit: number;
  /** Replicas that hold a commit before it is acknowledged. */
  readonly synchronousReplicas: number;
  /** Statements a second that a member takes while it warms up; 0 for any. */
  readonly warmupPerSecond: number;
}

export interface ServedWorkspace {
  readonly name: string;
  readonly limit: QuotaLimits;
  readonly regions: readonly string[];
}

/** One version of the operators' configuration, indexed for lookup. */
export interface ServedConfiguration {
  readonly version: number;
  /** By database name. */
  readonly routes: ReadonlyMap<string, DatabaseRoute>;
  readonly groups: ReadonlyMap<string, GroupSettings>;
  readonly workspaces: ReadonlyMap<string, ServedWorkspace>;
  /** The workspace that holds each key. */
  readonly keys: ReadonlyMap<string, string>;
  /** How long a transaction may wait for its caller. */
  readonly transactionIdleMs: number;
}
