import {afterLoopRun, mayReadOldCalls, startedLoop} from '@pistachiorill/core';
import type {LoopState} from '@pistachiorill/core';

/** How often the event loop shows that it runs. */
const HEARTBEAT_MS = 100;

/** Notices that this process was stopped, or its machine suspended. */
export class LoopMonitor {
  private state: LoopState;

  /** The clock must advance while the machine is suspended. */
  constructor(
    clock: () => number,
    private readonly onGap: (gapMs: number) => void,
  ) {
    this.state = startedLoop(clock());
    setInterval(() => this.ran(clock()), HEARTBEAT_MS).unref();
  }

  /** Whether a call that is read now may have arrived before a gap. */
  mayReadOldCalls(now: number): boolean {
    // The first call may be read before the heartbeat.
    this.ran(now);
    return mayReadOldCalls(this.state, now);
  }

  private ran(now: number): void {
    const before = this.state;
    this.state = afterLoopRun(before, now);
    if (this.state.resumedAt !== before.resumedAt) {
      this.onGap(now - before.ranAt);
    }
  }
}
