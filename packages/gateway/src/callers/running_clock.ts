import type {Clock} from '@pistachiorill/tasks';

/**
 * A clock that leaves out the time for which this process did not run, so that
 * a client is not blamed for it. What arrived meanwhile has not been read yet.
 */
export class RunningClock {
  private skippedMs = 0;
  private lastTickAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly intervalMs: number,
  ) {
    this.lastTickAt = clock();
  }

  /** The present time. */
  now(): number {
    return this.clock() - this.skippedMs;
  }

  /** To be called at the interval; returns the present time. */
  tick(): number {
    const now = this.clock();
    const lateMs = now - this.lastTickAt - this.intervalMs;
    if (lateMs > this.intervalMs) this.skippedMs += lateMs;
    this.lastTickAt = now;
    return this.now();
  }
}
