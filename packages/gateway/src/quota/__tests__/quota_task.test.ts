import {describe, expect, it} from 'vitest';
import {Random, ok} from '@pistachiorill/core';
import {ask, sleep} from '@pistachiorill/tasks';
import {PeerSet} from '../../peers/peer_set.js';
import {silentLogger} from '../../testing/fake_group.js';
import {QuotaTask} from '../quota_task.js';
import type {Admission} from '../account.js';

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

/** Rate holders of which the first that are asked have no tokens. */
class HoldingPeers extends PeerSet {
  calls = 0;

  constructor(
    vms: readonly string[],
    private readonly empty: number,
  ) {
    super(new Random(1));
    this.update(vms.map(vm => ({vm, address: '127.0.0.1:1'})));
  }

  override async tokens(vm: string, unusedWorkspace: string, asked: number) {
    this.calls++;
    const isEmpty = this.calls <= this.empty;
    await sleep(2);
    return ok(isEmpty ? 0 : asked);
  }
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

  // Guards against two calls between VMs for each operation of a large fleet,
  // and against a refusal although another rate holder has tokens.
  it.each([0, 1, 2, 4])(
    'asks one rate holder after the other: %d have no tokens',
    async empty => {
      const holders = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];
      const peers = new HoldingPeers(holders, empty);
      const task = new QuotaTask({
        clock: () => performance.now(),
        startedAt: 0,
        sharePpm: () => 0,
        rateHolders: () => holders,
        hasProvenShares: () => true,
        peers,
        log: silentLogger(),
        onFailed: err => {
          throw err;
        },
      });
      task.tell({kind: 'limits', limits: LIMITS});
      const until = performance.now() + 60;
      const admission = await ask<Admission>(reply =>
        task.tell({
          kind: 'admit',
          workspace: 'co-op',
          until,
          untilAtStart: until,
          reply,
        }),
      );
      expect({kind: admission.kind, calls: peers.calls}).toMatchSnapshot();
    },
  );

  // Guards against requests that multiply, as each of several answers without
  // tokens starts several further requests.
  it('asks at a bounded rate while no rate holder has tokens', async () => {
    const holders = Array.from({length: 8}, (unused, i) => `vm-${i}`);
    const peers = new HoldingPeers(holders, Infinity);
    const task = new QuotaTask({
      clock: () => performance.now(),
      startedAt: 0,
      sharePpm: () => 0,
      rateHolders: () => holders,
      hasProvenShares: () => true,
      peers,
      log: silentLogger(),
      onFailed: err => {
        throw err;
      },
    });
    task.tell({
      kind: 'limits',
      limits: new Map([['co-op', {rate: 2, burst: 2}]]),
    });
    const until = performance.now() + 1_000;
    const asked = Array.from({length: 20}, () =>
      ask<Admission>(reply =>
        task.tell({
          kind: 'admit',
          workspace: 'co-op',
          until,
          untilAtStart: until,
          reply,
        }),
      ),
    );
    await Promise.all(asked);
    // All eight at most once in the pause of 250 ms, and as many before it.
    expect(peers.calls).toBeLessThanOrEqual(5 * 2 * 8);
  });
});
