/** A report that was sent and got no final answer. */
export interface FailedReport {
  readonly failures: number;
  /** When it may be sent again, by this VM's clock. */
  readonly retryAt: number;
}

/** The pause after the first failure of a report, doubled by each later one. */
const FIRST_RETRY_MS = 500;
/** A report that failed often is sent this soon after the platform is back. */
const MAX_RETRY_MS = 2_000;

/** Which reports this process sent, and how they ended. */
export class ReportAttempts {
  private readonly settledWindows = new Set<number>();
  private readonly failedReports = new Map<number, FailedReport>();

  /** Windows whose report was answered for good. */
  get settled(): ReadonlySet<number> {
    return this.settledWindows;
  }

  /** Reports by window that are to be sent again. */
  get failed(): ReadonlyMap<number, FailedReport> {
    return this.failedReports;
  }

  noteSettled(window: number): void {
    this.settledWindows.add(window);
    this.failedReports.delete(window);
  }

  noteFailure(window: number, now: number): void {
    const before = this.failedReports.get(window)?.failures ?? 0;
    const pauseMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** before);
    this.failedReports.set(window, {
      failures: before + 1,
      retryAt: now + pauseMs,
    });
  }

  /** Removes the windows up to one that was reviewed. */
  removeUpTo(last: number): void {
    for (const window of [...this.settled, ...this.failed.keys()]) {
      if (window > last) continue;
      this.settledWindows.delete(window);
      this.failedReports.delete(window);
    }
  }
}
