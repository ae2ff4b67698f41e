/**
 * Limits the statements of one VM to a member that has just started. Each VM
 * takes its part of what the member bears.
 */
export class WarmupLimit {
  private perSecond = 0;
  private until = -Infinity;
  private allowance = 1;
  private at = -Infinity;

  /** `perSecond` of 0 sets no limit. */
  configure(perSecond: number, until: number): void {
    this.perSecond = perSecond;
    this.until = until;
  }

  admit(now: number): boolean {
    if (this.perSecond <= 0 || now >= this.until) return true;
    const elapsed = Math.max(0, now - this.at) / 1_000;
    this.allowance = Math.min(1, this.allowance + elapsed * this.perSecond);
    this.at = now;
    if (this.allowance < 1) return false;
    this.allowance -= 1;
    return true;
  }
}
