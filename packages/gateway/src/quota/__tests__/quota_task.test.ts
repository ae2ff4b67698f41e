import {describe, expect, it} from 'vitest';
import {Random} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import {PeerSet} from '../../peers/peer_set.js';
import {silentLogger} from '../../testing/fake_group.js';
import {QuotaTask} from '../quota_task.js';

const LIMITS = new Map([['co-op', {rate: 40, burst: 40}]]);

/** The whole tokens that a quarter of the rate gives at `now`. */
async function tokensAt(now: number, limitsAt: readonly number[]) {
  const time = {now: 0};
  const task = new QuotaTask({
    clock: () => time.now,
    startedAt: 100,
    sharePpm: () => 250_000,
    homes: () => [],
    knowsShares: () => true,
    peers: new PeerSet(new Random(1)),
    log: silentLogger(),
    onFailed: err => {
      throw err;
    },
  });
  for (const at of limitsAt) {
    time.now = at;
    task.tell({kind: 'limits', limits: LIMITS});
    // The task reads the clock when it takes a message.
    await take(task, 0);
  }
  time.now = now;
  return take(task, 1_000);
}

function take(task: QuotaTask, asked: number): Promise<number> {
  return ask(reply =>
    task.tell({kind: 'give', workspace: 'co-op', asked, reply}),
  );
}

describe('QuotaTask', () => {
  // Guards against a VM that refuses after a restart what its share gave while
  // it started, and against counting that time again with each configuration.
  it.each([
    ['the first limits', 600, [600]],
    ['limits that come twice', 600, [300, 600]],
    ['a long start, up to the burst of the share', 60_000, [60_000]],
  ] as const)('%s', async (unusedName, now, limitsAt) => {
    expect(await tokensAt(now, limitsAt)).toMatchSnapshot();
  });
});
