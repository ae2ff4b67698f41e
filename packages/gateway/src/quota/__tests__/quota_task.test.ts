import {describe, expect, it} from 'vitest';
import {Random} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import {PeerSet} from '../../peers/peer_set.js';
import {silentLogger} from '../../testing/fake_group.js';
import {QuotaTask} from '../quota_task.js';

const LIMITS = new Map([['co-op', {rate: 40, burst: 40}]]);

/** The whole tokens available at `now` on a VM with a quarter of the rate. */
async function tokensAt(now: number, limitsAt: readonly number[]) {
  const time = {now: 0};
  const task = new QuotaTask({
    clock: () => time.now,
    startedAt: 100,
    sharePpm: () => 250_000,
    rateHolders: () => [],
    hasProvenShares: () => true,
    peers: new PeerSet(new Random(1)),
    log: silentLogger(),
    onFailed: err => {
      throw err;
    },
  });
  for (const at of limitsAt) {
    time.now = at;
    task.tell({kind: 'limits', limits: LIMITS});
    // The task reads the clock when it handles a message.
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
  // Guards against refusals after a restart for want of the tokens that accrued
  // while the VM started, and against counting that time again with each
  // configuration.
  it.each([
    ['with the first limits', 600, [600]],
    ['once if limits come twice', 600, [300, 600]],
    ['up to the burst of the share', 60_000, [60_000]],
  ] as const)(
    'accrues tokens from the start %s',
    async (unusedName, now, limitsAt) => {
      expect(await tokensAt(now, limitsAt)).toMatchSnapshot();
    },
  );
});
