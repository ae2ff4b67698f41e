import {expect, it} from 'vitest';
import {afterLoopRun, mayReadOldCalls, startedLoop} from '../loop_gap.js';

// Guards against calls from before a gap that run, and against a process that
// refuses calls because it is a little slow, or for long after a gap.
it('takes calls for old ones shortly after a gap', () => {
  const seen: string[] = [];
  let state = startedLoop(0);
  for (const now of [100, 350, 650, 950, 1_300, 1_400, 1_540, 1_550, 1_650]) {
    state = afterLoopRun(state, now);
    seen.push(`${now}: ${mayReadOldCalls(state, now) ? 'old' : 'new'}`);
  }
  expect(seen).toMatchSnapshot();
});
