import {describe, expect, it} from 'vitest';
import {MachineClocks, SuspensionClock} from '../suspension_clock.js';

/** Clocks that the test advances separately. */
class FakeClocks extends MachineClocks {
  steady = 0;
  time = 1_000_000;

  override monotonic(): number {
    return this.steady;
  }

  override wall(): number {
    return this.time;
  }

  pass(steadyMs: number, wallMs = steadyMs): number {
    this.steady += steadyMs;
    this.time += wallMs;
    return this.steady;
  }
}

describe('SuspensionClock', () => {
  // Guards against a primary lease that outlasts its duration because the
  // machine was suspended, and against a clock that runs backwards when the
  // time of day is set.
  it('counts suspensions and forward steps, never backward ones', () => {
    const clocks = new FakeClocks();
    const skips: number[] = [];
    const clock = new SuspensionClock(clocks, skipped => skips.push(skipped));
    const seen = [clock.now()];
    const passed: ReadonlyArray<readonly [number, number]> = [
      [100, 100],
      [10, 4_010],
      [100, 90],
      [100, -2_300],
      [100, 100],
      [100, 2_500],
    ];
    for (const [steadyMs, wallMs] of passed) {
      clocks.pass(steadyMs, wallMs);
      seen.push(clock.now());
    }
    expect({seen, skips}).toMatchSnapshot();
  });
});
