import {demandAt} from './demand_estimate.js';
import {effectiveLimitsAt} from './limit_history.js';
import type {LentLoan, LoanGrant, LoanRequest} from './loan.js';
import {
  LENDER_DURATION_FACTOR,
  MAX_SHARE_LOAN_MS,
  MAX_TOKEN_LOAN_MS,
  FULL_SHARE_PPM,
} from './quota_limits.js';
import {
  accrue,
  burstPpmOf,
  capTokens,
  lentBurstPpm,
  lentRatePpm,
  confirmedSharePpm,
  ratePpmOf,
} from './token_account.js';
import type {TokenAccount} from './token_account.js';

/** The fraction of its own share of the burst that a lender never lends. */
const UNLENDABLE_BURST_FRACTION = 0.1;

/** Share needed per unit of estimated demand, since arrivals are irregular. */
export const DEMAND_HEADROOM_FACTOR = 1.15;

/** A lender keeps the tokens that its own demand needs within this time. */
const DEMAND_RESERVE_MS = 100;

/**
 * The smallest share loan, as a fraction of the lender's own share. A smaller
 * loan is not worth its messages.
 */
const MIN_SHARE_LOAN_FRACTION = 0.1;

/**
 * The smallest token loan. Fewer tokens are not worth the messages unless the
 * borrower needs no more than that.
 */
export const MIN_LOAN_TOKENS = 0.2;

/**
 * Decides on a loan request. The returned account is already reduced by the
 * loan and must be in effect before the grant is sent.
 */
export function decideLoan(
  account: TokenAccount,
  request: LoanRequest,
  waiting: number,
  now: number,
): {readonly account: TokenAccount; readonly grant: LoanGrant} {
  const state = accrue(account, now);
  // After a renewal, the original request matches only by the id of the loan.
  const repeated = state.lent.find(
    ({grant}) =>
      grant.requestId === request.requestId ||
      grant.loanId === request.requestId,
  );
  if (repeated) return {account: state, grant: repeated.grant};
  const loan =
    waiting > 0 && request.kind !== 'renewal'
      ? undefined
      : request.kind === 'tokens'
        ? tokenLoan(state, request, now)
        : request.kind === 'share'
          ? shareLoan(state, request, now)
          : renewedLoan(state, request, waiting, now);
  if (!loan) return {account: state, grant: declinedGrant(state, request, now)};
  const lowered = capTokens({
    ...state,
    tokens: state.tokens - loan.grant.tokens,
    lent: [
      ...state.lent.filter(item => item.grant.loanId !== loan.grant.loanId),
      loan,
    ],
  });
  const spareTokens = spareTokensOf(lowered, now);
  const grant = {...loan.grant, spareTokens};
  return {
    account: {
      ...lowered,
      lent: lowered.lent.map(item => (item === loan ? {...loan, grant} : item)),
    },
    grant,
  };
}

/** Returns the tokens beyond the reserve for the VM's own demand. */
export function spareTokensOf(account: TokenAccount, now: number): number {
  const reserve = (demandAt(account.demand, now) * DEMAND_RESERVE_MS) / 1_000;
  return Math.max(0, account.tokens - reserve);
}

/** Returns the share of the rate that this VM's own demand needs. */
export function neededRatePpm(account: TokenAccount, now: number): number {
  const {rate} = effectiveLimitsAt(account.limits, now);
  if (rate <= 0) return 0;
  const demand = demandAt(account.demand, now) * DEMAND_HEADROOM_FACTOR;
  return Math.min(FULL_SHARE_PPM, Math.ceil((demand / rate) * FULL_SHARE_PPM));
}

function tokenLoan(
  state: TokenAccount,
  request: LoanRequest,
  now: number,
): LentLoan | undefined {
  const durationMs = Math.min(MAX_TOKEN_LOAN_MS, state.confirmedUntil - now);
  const releaseAt = now + durationMs * LENDER_DURATION_FACTOR;
  const {burst} = effectiveLimitsAt(state.limits, now);
  // Burst borrowed through a loan that ends before this one cannot be lent.
  const lastingBurstPpm = burstPpmOf({
    ...state,
    borrowed: state.borrowed.filter(loan => loan.expiresAt >= releaseAt),
  });
  const tokens = Math.min(
    request.tokens,
    spareTokensOf(state, now),
    (lastingBurstPpm / FULL_SHARE_PPM) * burst,
  );
  const minTokens = Math.min(request.tokens, MIN_LOAN_TOKENS);
  if (!(tokens >= minTokens) || !(durationMs > 0)) return undefined;
  return {
    kind: 'tokens',
    borrower: request.borrower,
    releaseAt,
    grant: {
      requestId: request.requestId,
      loanId: request.requestId,
      ratePpm: 0,
      burstPpm: Math.min(
        lastingBurstPpm,
        Math.ceil((tokens / burst) * FULL_SHARE_PPM),
      ),
      tokens,
      durationMs,
      spareTokens: 0,
    },
  };
}

function shareLoan(
  state: TokenAccount,
  request: LoanRequest,
  now: number,
): LentLoan | undefined {
  const durationMs = shareLoanMs(state, now);
  const ownSharePpm = confirmedSharePpm(state);
  const ratePpm = Math.floor(
    Math.min(
      request.ratePpm,
      ownSharePpm - lentRatePpm(state),
      ratePpmOf(state) - neededRatePpm(state, now),
    ),
  );
  if (
    ratePpm < Math.max(1, ownSharePpm * MIN_SHARE_LOAN_FRACTION) ||
    !(durationMs > 0)
  ) {
    return undefined;
  }
  const lendableBurstPpm =
    ownSharePpm -
    lentBurstPpm(state) -
    Math.ceil(ownSharePpm * UNLENDABLE_BURST_FRACTION);
  const burstPpm = Math.max(0, Math.min(ratePpm, lendableBurstPpm));
  const {burst} = effectiveLimitsAt(state.limits, now);
  const heldBurstPpm = burstPpmOf(state);
  const lentFraction = heldBurstPpm > 0 ? burstPpm / heldBurstPpm : 0;
  return {
    kind: 'share',
    borrower: request.borrower,
    releaseAt: now + durationMs * LENDER_DURATION_FACTOR,
    grant: {
      requestId: request.requestId,
      loanId: request.requestId,
      ratePpm,
      burstPpm,
      tokens: Math.min(
        state.tokens * lentFraction,
        (burstPpm / FULL_SHARE_PPM) * burst,
      ),
      durationMs,
      spareTokens: 0,
    },
  };
}

/**
 * Extends a share loan in full, unless the lender needs the share. A borrower
 * that does not receive the answer keeps to the earlier end.
 */
function renewedLoan(
  state: TokenAccount,
  request: LoanRequest,
  waiting: number,
  now: number,
): LentLoan | undefined {
  const loan = state.lent.find(
    item =>
      item.kind === 'share' &&
      item.grant.loanId === request.loanId &&
      item.borrower === request.borrower,
  );
  const durationMs = shareLoanMs(state, now);
  if (!loan || waiting > 0 || !(durationMs > 0)) return undefined;
  if (ratePpmOf(state) < neededRatePpm(state, now)) return undefined;
  return {
    ...loan,
    releaseAt: Math.max(
      loan.releaseAt,
      now + durationMs * LENDER_DURATION_FACTOR,
    ),
    grant: {
      ...loan.grant,
      requestId: request.requestId,
      tokens: 0,
      durationMs,
    },
  };
}

/**
 * Returns the duration of a share loan. A loan ends before the lender's
 * confirmation does; otherwise the borrower could still use share that has been
 * reclaimed from the lender.
 */
function shareLoanMs(state: TokenAccount, now: number): number {
  return Math.min(MAX_SHARE_LOAN_MS, state.confirmedUntil - now);
}

/** Returns the answer that lends nothing and reports the spare tokens. */
function declinedGrant(
  state: TokenAccount,
  request: LoanRequest,
  now: number,
): LoanGrant {
  return {
    requestId: request.requestId,
    loanId: request.loanId ?? request.requestId,
    ratePpm: 0,
    burstPpm: 0,
    tokens: 0,
    durationMs: 0,
    spareTokens: spareTokensOf(state, now),
  };
}
