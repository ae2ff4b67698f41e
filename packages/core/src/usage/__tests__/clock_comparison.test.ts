import {describe, expect, it} from 'vitest';
import {ClockComparison} from '../clock_comparison.js';

const VMS = ['vm-a', 'vm-b', 'vm-c'];
/** This VM's offset when the others were asked. */
const OFFSET = 1_000_000;

function comparedAt(now: number, aheadMs: readonly number[]): ClockComparison {
  const clocks = new ClockComparison();
  const answers = aheadMs.map((ms, i) => [VMS[i] ?? '', ms] as const);
  clocks.note(new Map(answers), OFFSET, now);
  return clocks;
}

describe('ClockComparison', () => {
  // Guards against a holder that compares its clock only when it shows that a
  // window is to be collected, which a clock that is behind never does.
  it('is due at once, after an interval, and after a jump of the clock', () => {
    const clocks = comparedAt(0, [0, 0, 0]);
    const reset = comparedAt(0, [0, 0, 0]);
    reset.reset();
    expect({
      never: new ClockComparison().isDue(OFFSET, 0, 'trusted'),
      justCompared: clocks.isDue(OFFSET, 9_999, 'trusted'),
      later: clocks.isDue(OFFSET, 10_000, 'trusted'),
      notConfirmed: clocks.isDue(OFFSET, 2_000, 'untrusted'),
      jumped: clocks.isDue(OFFSET + 7_000, 1, 'trusted'),
      acquiredAgain: reset.isDue(OFFSET, 1, 'trusted'),
    }).toMatchSnapshot();
  });

  // Guards against a second correction by the answers that led to the first, and
  // against one by answers that are no longer true.
  it('compares with the answers of late', () => {
    const clocks = comparedAt(0, [-7_000, -7_000, -7_010]);
    expect({
      ahead: clocks.deviation(VMS, OFFSET, 0),
      corrected: clocks.deviation(VMS, OFFSET - 7_000, 0),
      old: clocks.deviation(VMS, OFFSET, 30_001),
      removedVms: clocks.deviation(['vm-a'], OFFSET, 0),
    }).toMatchSnapshot();
  });

  // Guards against counts that are recorded by a clock that nobody confirmed.
  it('is confirmed by half of the other VMs', () => {
    const confirm = (aheadMs: readonly number[], ownOffset = OFFSET) =>
      comparedAt(0, aheadMs).confirmation(VMS, ownOffset, 0);
    expect({
      none: confirm([]),
      oneOfThree: confirm([0]),
      twoOfThree: confirm([900, -900]),
      twoDiffer: confirm([7_000, 7_000, 0]),
      jumped: confirm([0, 0, 0], OFFSET + 7_000),
      old: comparedAt(0, [0, 0, 0]).confirmation(VMS, OFFSET, 30_001),
      noOtherVms: comparedAt(0, []).confirmation([], OFFSET, 0),
    }).toMatchSnapshot();
  });
});
