import {describe, expect, it} from 'vitest';
import {Random} from '../../common/random.js';
import {decideQuota} from '../decide_quota.js';
import {changeLimits, effectiveLimitsAt} from '../limit_history.js';
import type {LoanRequest} from '../loan.js';
import type {QuotaEffect, QuotaMessage} from '../quota_message.js';
import {newQuotaState} from '../quota_state.js';
import type {QuotaState} from '../quota_state.js';
import {accrue, burstPpmOf, ratePpmOf} from '../token_account.js';
import type {TokenAccount} from '../token_account.js';

const LIMITS = {rate: 100, burst: 100};

class Vm {
  private state: QuotaState;

  constructor(
    readonly name: string,
    sharePpm: number,
    confirmedUntil = Infinity,
  ) {
    this.state = newQuotaState(name);
    this.decide({kind: 'limits', limits: new Map([['w', LIMITS]])}, 0);
    this.decide({kind: 'share', sharePpm, confirmedUntil}, 0);
  }

  decide(message: QuotaMessage, now: number): readonly QuotaEffect[] {
    const decision = decideQuota(this.state, message, new Random(1), now);
    this.state = decision.state;
    return decision.effects;
  }

  account(now: number): TokenAccount {
    const account = this.state.workspaces.get('w')?.account as TokenAccount;
    return accrue(account, now);
  }

  summaryAt(now: number) {
    const account = this.account(now);
    return {
      tokens: account.tokens,
      ratePpm: ratePpmOf(account),
      burstPpm: burstPpmOf(account),
    };
  }
}

function request(
  requestId: string,
  fields: Partial<LoanRequest>,
): QuotaMessage {
  return {
    kind: 'loan-requested',
    request: {
      requestId,
      borrower: 'b',
      workspace: 'w',
      kind: 'share',
      ratePpm: 0,
      tokens: 0,
      ...fields,
    },
  };
}

describe('loans', () => {
  // Guards against a lender that lends a share twice when the original request
  // of a renewed loan is delivered again.
  it('recognises a late duplicate of the request after a renewal', () => {
    const lender = new Vm('l', 500_000);
    const first = request('r1', {ratePpm: 400_000});
    const grants = [
      lender.decide(first, 1_000),
      lender.decide(request('r2', {kind: 'renewal', loanId: 'r1'}), 3_000),
      lender.decide(first, 3_500),
    ];
    const after = [3_500, 4_400, 6_200, 6_400].map(now =>
      lender.summaryAt(now),
    );
    expect({grants, after}).toMatchSnapshot();
  });

  // Guards against lending borrowed burst for longer than it is borrowed.
  it('does not lend burst borrowed through a loan that ends earlier', () => {
    const vm = new Vm('v', 0);
    vm.decide({kind: 'peers', peers: ['l']}, 0);
    const admit = {kind: 'admit', workspace: 'w', ticket: 1} as const;
    const [asked] = vm.decide({...admit, deadline: 200}, 0);
    if (asked?.kind !== 'request-loan') throw new Error('no request');
    vm.decide(
      {
        kind: 'loan-answered',
        workspace: 'w',
        requestId: asked.request.requestId,
        lender: 'l',
        grant: {
          requestId: asked.request.requestId,
          loanId: asked.request.requestId,
          ratePpm: 0,
          burstPpm: 50_000,
          tokens: 5,
          durationMs: 50,
          spareTokens: 0,
        },
      },
      4,
    );
    const wanted = {kind: 'tokens', tokens: 2} as const;
    expect({
      before: vm.summaryAt(5),
      lent: vm.decide(request('r1', wanted), 5),
      after: vm.summaryAt(51),
    }).toMatchSnapshot();
  });

  // Guards against a loan that outlives its lender's confirmation, after which
  // the lender's share may be reclaimed.
  it('ends a loan before the lender becomes unconfirmed', () => {
    const lender = new Vm('l', 500_000, 2_000);
    expect(
      lender.decide(request('r1', {ratePpm: 400_000}), 1_000),
    ).toMatchSnapshot();
  });

  // Guards against enforcing raised limits while other VMs may still enforce
  // lower ones.
  it('lowers limits at once and raises them with a delay', () => {
    const lower = {rate: 50, burst: 20};
    const first = changeLimits(undefined, LIMITS, 0);
    const lowered = changeLimits(first, lower, 1_000);
    const raised = changeLimits(lowered, LIMITS, 10_000);
    expect({
      lowered: effectiveLimitsAt(lowered, 1_000),
      beforeLimit: effectiveLimitsAt(raised, 15_999),
      afterLimit: effectiveLimitsAt(raised, 16_000),
    }).toMatchSnapshot();
  });
});
