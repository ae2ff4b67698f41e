import {performance} from 'node:perf_hooks';

/** Smaller differences between the two clocks are jitter. */
const SKIP_THRESHOLD_MS = 40;

/** The two clocks of a machine, in milliseconds. */
export abstract class MachineClocks {
  /** Does not advance while the machine is suspended. */
  abstract monotonic(): number;
  /** Advances while the machine is suspended; may be set to another time. */
  abstract wall(): number;
}

/** The clocks of the machine on which the process runs. */
export class SystemClocks extends MachineClocks {
  override monotonic(): number {
    return performance.now();
  }

  override wall(): number {
    return Date.now();
  }
}

/**
 * A clock that never runs slow. The monotonic clock stops while the machine is
 * suspended, which would let primary leases outlast their duration. A forward
 * jump of the wall clock against it therefore counts as elapsed time; a
 * backward jump is ignored.
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

  /** Returns the time in milliseconds; reports a jump when it detects one. */
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
