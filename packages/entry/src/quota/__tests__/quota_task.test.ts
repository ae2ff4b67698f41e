import {Random} from '@pistachiorill/core';
import type {LoanRequest} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import {afterEach, beforeEach, expect, it, vi} from 'vitest';
import type {AdmitOutcome} from '../quota_message.js';
import {QuotaTask} from '../quota_task.js';

const PAUSE_MS = 7_000;
const OWN_PPM = 100_000;
const LOAN_PPM = 400_000;

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

/** Grants the same loan, with 20 tokens, to each request. */
async function grantLoan(vm: string, {requestId}: LoanRequest) {
  const loan = {ratePpm: LOAN_PPM, burstPpm: LOAN_PPM, tokens: 20};
  const spareTokens = 0;
  const loanId = `${vm}/${requestId}`;
  return {requestId, loanId, ...loan, durationMs: 3_000, spareTokens};
}

/** Borrows, pauses, then counts how many of 100 statements are admitted. */
async function admittedAfter(
  pauseMs: number,
  confirmedFor: number,
): Promise<number> {
  let paused = 0;
  const startedAt = Date.now();
  const clock = (): number => Date.now() - startedAt + paused;
  const quota = new QuotaTask({
    self: 'v1',
    sendLoanRequest: grantLoan,
    random: new Random(1),
    clock,
    onFault: err => {
      throw err;
    },
  });
  const admit = (): Promise<AdmitOutcome> =>
    ask(reply =>
      quota.tell({kind: 'admit', workspace: 'w', until: clock(), reply}),
    );
  const limits = new Map([['w', {rate: 50, burst: 50}]]);
  quota.tell({kind: 'limits', limits});
  quota.tell({kind: 'peers', peers: ['v2']});
  quota.tell({kind: 'share', sharePpm: OWN_PPM});
  quota.tell({kind: 'confirmed', until: confirmedFor});
  // Demand above the VM's own share makes it borrow.
  for (let i = 0; i < 50; i++) {
    void admit();
    await vi.advanceTimersByTimeAsync(20);
  }
  await vi.advanceTimersByTimeAsync(1_000);
  // During a pause the clock advances but no timer fires.
  paused = pauseMs;
  const outcomes = Array.from({length: 100}, admit);
  await vi.advanceTimersByTimeAsync(100);
  await quota.stop();
  const all = await Promise.all(outcomes);
  return all.filter(outcome => outcome === 'admitted').length;
}

// Guards against a VM that uses a loan or its own share after they expired
// during a pause of the VM. The VM's own share holds 5 tokens.
it('admits nothing from an expired loan after a pause', async () => {
  expect({
    withoutPause: await admittedAfter(0, 60_000),
    paused: await admittedAfter(PAUSE_MS, 60_000),
    pausedAndUnconfirmed: await admittedAfter(PAUSE_MS, 6_000),
  }).toMatchSnapshot();
});
