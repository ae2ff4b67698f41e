/** The size and the data of one user's installation. */
export interface Profile {
  readonly name: string;
  readonly region: string;
  readonly dataCentres: readonly string[];
  readonly service: string;
  /** Number of databases, each a group with one member per data centre. */
  readonly databaseCount: number;
  readonly vmCount: number;
  /** Connections that each member accepts. */
  readonly connectionLimit: number;
  /** Statements that each member runs at the same time. */
  readonly slots: number;
  /** Delay before a member accepts a new connection. */
  readonly connectDelayMs: number;
  /** How long a member executes each statement (default 1). */
  readonly statementMs?: number;
  readonly workspaces: readonly WorkspaceProfile[];
  /** Delay before a replica applies a received entry (default 0). */
  readonly applyLagMs?: number;
  /** The `[policy]` section of the VMs' settings. */
  readonly policy?: Readonly<Record<string, string>>;
  /** The `[limits]` section of the VMs' settings. */
  readonly limits?: Readonly<Record<string, string>>;
  /** Node.js options of the VM processes, such as `--cpu-prof`. */
  readonly vmNodeOptions?: readonly string[];
}

/** One workspace of a profile, with its key and its rate limit. */
export interface WorkspaceProfile {
  readonly name: string;
  readonly key: string;
  /** Statements per second. */
  readonly rate: number;
  /** Size of the token bucket. */
  readonly burst: number;
}

function workspaces(prefix: string): WorkspaceProfile[] {
  return Array.from({length: 8}, (unused, index) => ({
    name: `${prefix}-${index + 1}`,
    key: `${prefix}-${index + 1}-key`,
    // The first two workspaces are large.
    rate: index < 2 ? 200 : 50,
    burst: index < 2 ? 200 : 50,
  }));
}

/** The installation of the user `authority`. */
export const AUTHORITY_PROFILE: Profile = {
  name: 'authority',
  region: 'ga-central',
  dataCentres: ['macon-a', 'perry-b', 'warner-c'],
  service: 'wash-ledger',
  databaseCount: 3,
  vmCount: 6,
  connectionLimit: 15,
  slots: 2,
  connectDelayMs: 10,
  workspaces: workspaces('co-op'),
};

/** The installation of the user `leafmark`. */
export const LEAFMARK_PROFILE: Profile = {
  name: 'leafmark',
  region: 'tw-north',
  dataCentres: ['shilin', 'wanhua', 'neihu'],
  service: 'labeldb',
  databaseCount: 3,
  vmCount: 6,
  connectionLimit: 25,
  slots: 2,
  connectDelayMs: 10,
  workspaces: workspaces('stall'),
};
