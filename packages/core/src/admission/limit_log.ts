const LOG_INTERVAL_MS = 10_000;

/**
 * Limits the log lines about exceeded limits to one per subject (an entry point
 * and its limit) and interval, as a crowd of clients would otherwise fill the
 * log.
 */
export class LimitLog {
  private readonly lastLoggedAt = new Map<string, number>();
  private readonly unlogged = new Map<string, number>();

  /**
   * Records an event. Returns the number of events that the line to log stands
   * for, or undefined if none is due.
   */
  record(subject: string, now: number): number | undefined {
    const count = (this.unlogged.get(subject) ?? 0) + 1;
    const last = this.lastLoggedAt.get(subject);
    if (last !== undefined && now - last < LOG_INTERVAL_MS) {
      this.unlogged.set(subject, count);
      return undefined;
    }
    this.lastLoggedAt.set(subject, now);
    this.unlogged.delete(subject);
    return count;
  }
}
