/** The kinds of reports; the wire schema is built from the same list. */
export const FAILOVER_REPORT_KINDS = [
  'suspect',
  'move',
  'busy',
  'clear',
] as const;

/**
 * A VM's report to the other VMs about a group. It carries ages and no points
 * in time, because VMs do not compare their clocks.
 */
export interface FailoverReport {
  /**
   * - `suspect`: this VM finds no primary that can serve writes.
   * - `move`: the configuration requires the primary to leave.
   * - `busy`: another VM reports `move`, and this VM, which does not have that
   *   configuration yet, has transactions open on the primary.
   * - `clear`: none of these holds any longer.
   */
  readonly kind: (typeof FAILOVER_REPORT_KINDS)[number];
  readonly database: string;
  readonly vm: string;
  readonly dataCentre: string;
  /** The highest term that a member reported to the VM. */
  readonly term: number;
  /** How long the report has applied, in milliseconds. */
  readonly forMs: number;
  /**
   * Connections of this VM to the primary that are in use, plus one while the
   * VM still sends new writes. In a `busy` report, its open transactions.
   */
  readonly running: number;
}

/** A report with times on the clock of the VM that received it. */
export interface ReceivedReport {
  readonly report: FailoverReport;
  /** When the reported condition began. */
  readonly since: number;
  readonly receivedAt: number;
}

/** The last report of each VM, by name of the VM. */
export type ReceivedReports = Readonly<Record<string, ReceivedReport>>;
