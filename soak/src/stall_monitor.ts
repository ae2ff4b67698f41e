import {sleep} from '@pistachiorill/tasks';
import type {Stall} from './checks/check_lost.js';

const TICK_MS = 10;
/** Timers are this late on a machine that is not busy. */
const USUAL_DELAY_MS = 10;

/**
 * Notices when this process, which hosts callers and stand-ins, did not run for a
 * while: it then sees the ends of connections late.
 */
export class StallMonitor {
  private readonly found: Stall[] = [];
  private lastMs: number;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly clock: () => number) {
    this.lastMs = clock();
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  get stalls(): readonly Stall[] {
    return this.found;
  }

  /** The sum of all stalls; high when the run is too large for the machine. */
  get stalledMs(): number {
    const sum = this.found.reduce(
      (ms, {fromMs, toMs}) => ms + toMs - fromMs,
      0,
    );
    return Math.round(sum);
  }

  /** Whether a stall of at least the given length fell into the interval. */
  hasStall(fromMs: number, toMs: number, minMs: number): boolean {
    return this.found.some(
      stall =>
        stall.toMs >= fromMs &&
        stall.fromMs <= toMs &&
        stall.toMs - stall.fromMs >= minMs,
    );
  }

  /** Waits until this process has run for the given time, without stalls. */
  async sleepRunning(forMs: number): Promise<void> {
    const startMs = this.clock();
    const stalledBefore = this.stalledMs;
    const ranMs = (): number =>
      this.clock() - startMs - (this.stalledMs - stalledBefore);
    while (ranMs() < forMs) await sleep(TICK_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private tick(): void {
    const nowMs = this.clock();
    const expectedMs = this.lastMs + TICK_MS;
    if (nowMs > expectedMs + USUAL_DELAY_MS) {
      this.found.push({fromMs: expectedMs, toMs: nowMs});
    }
    this.lastMs = nowMs;
  }
}
