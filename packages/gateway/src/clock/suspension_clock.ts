import {performance} from 'node:perf_hooks';

/** Differences below this are jitter of the two clocks. */
const SKIP_THRESHOLD_MS = 40;

/** The clocks that a machine offers, in milliseconds. */
export abstract class MachineClocks {
  /** Does not move while the machine is suspended. */
  abstract monotonic(): number;
  /** Moves while the machine is suspended, and may be set. */
  abstract wall(): number;
}

export class SystemClocks extends MachineClocks {
  override monotonic(): number {
    return performance.now();
  }

  override wall(): number {
    return Date.now();
  }
}

/**
 * A clock that never runs slow. The monotonic clock stands still while the
 * machine is suspended, which would let rights outlive their time; a forward
 * jump of the wall clock against it is counted as elapsed time.
 */
export class SuspensionClock {
  private lastMonotonic: number;
  private lastWall: number;
  private skipped = 0;

  constructor(
    private readonly clocks: MachineClocks,
    private readonly onSkip: (skippedMs: number) => void,
  ) {
    this.lastMonotonic = clocks.monotonic();
    this.lastWall = clocks.wall();
  }

  now(): number {
    const monotonic = this.clocks.monotonic();
    const wall = this.clocks.wall();
    const skip = wall - this.lastWall - (monotonic - this.lastMonotonic);
    if (skip > SKIP_THRESHOLD_MS || skip < -SKIP_THRESHOLD_MS) {
      this.lastMonotonic = monotonic;
      this.lastWall = wall;
      if (skip > 0) {
        this.skipped += skip;
        this.onSkip(skip);
      }
    }
    return monotonic + this.skipped;
  }
}
