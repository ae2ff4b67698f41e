/**
 * Limits the rate at which this VM sends statements to a member that has just
 * started: a token bucket of size one. Each VM gets an equal part of the rate
 * that the member can handle.
 */
export class WarmupLimit {
  private perSecond = 0;
  private until = -Infinity;
  private tokens = 1;
  /** The time of the last refill. */
  private at = -Infinity;

  /** Sets the rate and the end of the warm-up; a rate of 0 sets no limit. */
  configure(perSecond: number, until: number): void {
    this.perSecond = perSecond;
    this.until = until;
  }

  /** Takes a token; returns false if there is none. */
  admit(now: number): boolean {
    if (this.perSecond <= 0 || now >= this.until) return true;
    const elapsedSeconds = Math.max(0, now - this.at) / 1_000;
    this.tokens = Math.min(1, this.tokens + elapsedSeconds * this.perSecond);
    this.at = now;
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
