import {describe, expect, it} from 'vitest';
import {rankDelayMs} from '../rank_delay.js';

describe('rankDelayMs', () => {
  // Guards against a failed primary that is replaced only after 20 s, because
  // the VMs that cannot reach it rank far behind.
  it('stays short in a large fleet', () => {
    const ranks = [-1, 0, 1, 7, 8, 16, 100, 440];
    const delays = ranks.map(
      rank => `${rank}: ${Math.round(rankDelayMs(rank))}`,
    );
    expect(delays).toMatchSnapshot();
  });
});
