import {describe, expect, it} from 'vitest';
import {
  NO_WALL_TIME,
  READING_INTERVAL_MS,
  deviationOf,
  noteClockSkip,
  noteReading,
  resolveClockSkip,
  wallTimeAt,
} from '../wall_time.js';
import type {WallTime} from '../wall_time.js';

/** Adds readings of a wall clock that is `aheadMs` ahead, from `now` on. */
function readFor(time: WallTime, readings: number, aheadMs: number, now = 0) {
  let next = time;
  for (let i = 0; i < readings; i++) {
    const at = now + i * READING_INTERVAL_MS;
    next = noteReading(next, at + aheadMs, at);
  }
  return next;
}

describe('wall time', () => {
  // Guards against counts that a jump of the wall clock moves to other windows,
  // and against a time that never follows a clock that was set right.
  it('ignores jumps that do not last', () => {
    const steady = readFor(NO_WALL_TIME, 20, 1_000);
    expect({
      first: wallTimeAt(readFor(NO_WALL_TIME, 1, 1_000), 0),
      steady: wallTimeAt(steady, 0),
      ahead: wallTimeAt(readFor(steady, 10, 4_000), 0),
      behind: wallTimeAt(readFor(steady, 10, -2_000), 0),
      lasting: wallTimeAt(readFor(steady, 70, 4_000), 0),
    }).toMatchSnapshot();
  });

  // Guards against a suspended machine that counts in earlier windows, and
  // against a jump of the wall clock that is taken for elapsed time.
  it('tells suspension from a jump by the clock of the store', () => {
    const before = {minOffset: 995, maxOffset: 1_000};
    const skipped = noteClockSkip(
      readFor(NO_WALL_TIME, 3, 0),
      3_000,
      before.maxOffset,
    );
    const at = (storeClock: typeof before) =>
      wallTimeAt(resolveClockSkip(skipped, storeClock), 0);
    expect({
      unknown: at({minOffset: 995 - 3_000, maxOffset: 1_000}),
      suspended: at(before),
      jumped: at({minOffset: 995 - 3_000, maxOffset: 1_000 - 3_000}),
    }).toMatchSnapshot();
  });
});

describe('deviationOf', () => {
  // Guards against a holder that follows one VM whose clock is wrong, and against
  // one that never learns that its own is.
  it.each([
    ['nobody answers', []],
    ['one VM differs', [-7_000]],
    ['one of two VMs differs', [-7_000, 0]],
    ['both VMs differ', [-7_000, -6_990]],
    ['half of the VMs differ', [-7_000, -7_000, 0]],
    ['all are close', [900, -900, 800, 10]],
  ])('%s', (unusedName, aheadMs) => {
    expect(deviationOf(aheadMs)).toMatchSnapshot();
  });
});
