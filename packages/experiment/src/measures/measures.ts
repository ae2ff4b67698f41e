/** The requests of one workspace by result, and their latencies. */
export interface WorkspaceMeasure {
  readonly workspace: string;
  /** Requests within the workspace's rate. */
  readonly withinRate: number;
  /** Requests answered in time, `withinRate` at most. */
  readonly answeredInTime: number;
  /** Share of the requests within the rate that were answered in time. */
  readonly inTimeShare: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Refused requests in excess of those beyond the rate. */
  readonly wronglyRefused: number;
}

/** The requests planned in one second, and how many were answered in time. */
export interface SecondMeasure {
  /** Seconds after the start of the load. */
  readonly second: number;
  readonly planned: number;
  /** Requests of this second that were answered in time. */
  readonly answered: number;
  readonly share: number;
}

/** The longest time without an acknowledged write to one group. */
export interface GapMeasure {
  readonly database: string;
  readonly gapMs: number;
}

/** The measures of one run. */
export interface Measures {
  /** Share of the reads that replicas served; undefined without reads. */
  readonly replicaReadShare: number | undefined;
  readonly gaps: readonly GapMeasure[];
  readonly worstGapMs: number;
  readonly workspaces: readonly WorkspaceMeasure[];
  /** The workspace with the lowest `inTimeShare`. */
  readonly worstWorkspace: WorkspaceMeasure | undefined;
  /** Share of the requests within the rate that were refused. */
  readonly wrongRefusalShare: number;
  readonly seconds: readonly SecondMeasure[];
  /** The lowest share of requests answered in time in any second. */
  readonly lowestSecondShare: number;
  readonly answeredShare: number;
  readonly requests: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Attempts that lost the connection before the VM reported an outcome. */
  readonly interruptions: number;
  /** Number of requests that were not answered, by result and reason. */
  readonly refusals: Readonly<Record<string, number>>;
}
