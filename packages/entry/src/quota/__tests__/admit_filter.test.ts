import {Filter, Random, ok, outcomeOf} from '@pistachiorill/core';
import type {Caller, Refusal, RoutedStatement} from '@pistachiorill/core';
import {Pipeline} from '@pistachiorill/tasks';
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import {AdmitFilter} from '../admit_filter.js';
import {QuotaTask} from '../quota_task.js';

/** Counts the statements that were admitted. */
class RunFilter extends Filter<RoutedStatement, 'ran', Refusal> {
  override readonly name = 'run';
  count = 0;

  override async run() {
    this.count += 1;
    return ok('ran' as const);
  }
}

const clock = (): number => Date.now();
let quota: QuotaTask;
let run: RunFilter;

beforeEach(() => {
  vi.useFakeTimers({now: 0, toFake: ['setTimeout', 'clearTimeout', 'Date']});
  quota = new QuotaTask({
    self: 'a',
    sendLoanRequest: async () => undefined,
    random: new Random(1),
    clock,
    onFault: err => {
      throw err;
    },
  });
  run = new RunFilter();
  const limits = new Map([['co-op', {rate: 1, burst: 1}]]);
  quota.tell({kind: 'limits', limits});
  quota.tell({kind: 'share', sharePpm: 1_000_000});
  quota.tell({kind: 'confirmed', until: Infinity});
});
afterEach(async () => {
  await quota.stop();
  vi.useRealTimers();
});

async function send(workspace: string | undefined, deadlineMs = 5_000) {
  const caller: Caller =
    workspace === undefined
      ? {kind: 'anonymous'}
      : {kind: 'keyed', workspace, keyId: '1'};
  const arrived = clock();
  const statement = {caller, deadline: arrived + deadlineMs};
  const result = await Pipeline.of(new AdmitFilter(quota), clock)
    .then(run)
    .run(statement as RoutedStatement);
  const answer = result.ok
    ? result.value
    : `${result.err.kind}, ${outcomeOf(result.err)}: ${result.err.detail}`;
  return `${answer} after ${clock() - arrived} ms`;
}

// Guards against a refused statement that runs anyway, a wait beyond 200 ms or
// the deadline, and anonymous callers that use up the rate of a workspace.
it('refuses statements above the rate after a bounded wait', async () => {
  await vi.advanceTimersByTimeAsync(1_000);
  const results = [send('co-op'), send('co-op')];
  await vi.advanceTimersByTimeAsync(10);
  results.push(send('co-op'), send('co-op', 55), send('unknown'));
  results.push(send(undefined), send(undefined));
  await vi.advanceTimersByTimeAsync(300);
  expect({
    results: await Promise.all(results),
    ran: run.count,
  }).toMatchSnapshot();
});

// Guards against a waiting statement that gets no answer when the VM stops.
it('refuses waiting statements when the quota task stops', async () => {
  const waiting = send('co-op');
  await vi.advanceTimersByTimeAsync(50);
  await quota.stop();
  expect(await waiting).toMatchSnapshot();
});

// Guards against a VM that admits or lends from a share that it has returned.
it('admits nothing after the use of the share has ended', async () => {
  await vi.advanceTimersByTimeAsync(1_000);
  quota.tell({kind: 'use', use: 'ended'});
  quota.tell({kind: 'confirmed', until: Infinity});
  const ended = send('co-op');
  await vi.advanceTimersByTimeAsync(1_000);
  quota.tell({kind: 'use', use: 'in-use'});
  await vi.advanceTimersByTimeAsync(1_000);
  const inUse = send('co-op');
  await vi.advanceTimersByTimeAsync(1_000);
  expect({ended: await ended, inUse: await inUse}).toMatchSnapshot();
});
