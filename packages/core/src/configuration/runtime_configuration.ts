import type {QuotaLimits} from '../quota/quota_limits.js';

/** Which commits a read of a route must see. */
export type ReadConsistency =
  /** All acknowledged commits. */
  | 'strict'
  /** All commits that are older than the maximum age of the route. */
  | 'bounded-age'
  /** As `bounded-age`, and all commits of the same session. */
  | 'own-writes';

/** The settings of all statements for one database name. */
export interface DatabaseRoute {
  readonly name: string;
  /** The name that callers connect to. */
  readonly database: string;
  /** The group of members that hold the data. */
  readonly group: string;
  readonly consistency: ReadConsistency;
  /** The maximum age of the data that a read returns. */
  readonly maxAgeMs: number;
  /** The time limit of one statement. */
  readonly statementTimeoutMs: number;
  /** The target latency of a whole operation. */
  readonly targetMs: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Whether callers need the key of a workspace or may be anonymous. */
  readonly audience: 'keyed' | 'open';
  /** The regions whose members may serve the route; empty for all. */
  readonly regions: readonly string[];
}

/** The settings of a group of members. */
export interface GroupSettings {
  readonly name: string;
  /** Connections that a member accepts, over all VMs. */
  readonly connectionLimit: number;
  /** Replicas that must hold a commit before it is acknowledged. */
  readonly synchronousReplicas: number;
  /** Statements per second on a member that warms up; 0 for no limit. */
  readonly warmupPerSecond: number;
}

/** The quota and the regions of one workspace. */
export interface WorkspaceSettings {
  readonly name: string;
  readonly limit: QuotaLimits;
  /** The regions whose members may serve the workspace; empty for all. */
  readonly regions: readonly string[];
}

/** One version of the configuration, indexed for lookups. */
export interface RuntimeConfiguration {
  readonly version: number;
  /** By database name. */
  readonly routes: ReadonlyMap<string, DatabaseRoute>;
  readonly groups: ReadonlyMap<string, GroupSettings>;
  readonly workspaces: ReadonlyMap<string, WorkspaceSettings>;
  /** The name of the workspace that holds each key. */
  readonly keys: ReadonlyMap<string, string>;
  /** How long an open transaction may wait for the next statement. */
  readonly transactionIdleMs: number;
}
