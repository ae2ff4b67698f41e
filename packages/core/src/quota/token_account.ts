import {PROOF_VALIDITY_MS} from '../authority/authority_state.js';
import type {DemandEstimate} from './demand_estimate.js';
import {effectiveLimitsAt} from './limit_history.js';
import type {LimitHistory} from './limit_history.js';
import type {BorrowedLoan, LentLoan, PendingLoan} from './loan.js';
import {FULL_SHARE_PPM} from './quota_limits.js';

/**
 * One VM's tokens for one workspace, with the loans that raise or lower its
 * share.
 */
export interface TokenAccount {
  readonly limits: LimitHistory;
  /** This VM's share in the ledger. */
  readonly sharePpm: number;
  /** The time until which the ledger share is usable without a new proof. */
  readonly confirmedUntil: number;
  readonly tokens: number;
  /** The time up to which tokens have accrued. */
  readonly at: number;
  readonly lent: readonly LentLoan[];
  readonly borrowed: readonly BorrowedLoan[];
  /** Loan requests that have not been answered. */
  readonly pending: readonly PendingLoan[];
  readonly demand: DemandEstimate;
}

/** Returns the initial account of a VM, without share or tokens. */
export function emptyAccount(limits: LimitHistory, now: number): TokenAccount {
  return {
    limits,
    sharePpm: 0,
    confirmedUntil: -Infinity,
    tokens: 0,
    at: now,
    lent: [],
    borrowed: [],
    pending: [],
    demand: {perSecond: 0, at: now},
  };
}

/** Returns the share of the rate at the account's time, with all loans. */
export function ratePpmOf(account: TokenAccount): number {
  return Math.max(
    0,
    confirmedSharePpm(account) -
      lentRatePpm(account) +
      sumBorrowed(account.borrowed, 'ratePpm'),
  );
}

/** Returns the share of the burst at the account's time, with all loans. */
export function burstPpmOf(account: TokenAccount): number {
  return Math.max(
    0,
    confirmedSharePpm(account) -
      lentBurstPpm(account) +
      sumBorrowed(account.borrowed, 'burstPpm'),
  );
}

/** Returns the ledger share, or 0 while the VM is unconfirmed. */
export function confirmedSharePpm(account: TokenAccount): number {
  return account.at < account.confirmedUntil ? account.sharePpm : 0;
}

/** Returns the share of the rate that is lent to other VMs. */
export function lentRatePpm(account: TokenAccount): number {
  return account.lent.reduce((total, loan) => total + loan.grant.ratePpm, 0);
}

/** Returns the share of the burst that is lent to other VMs. */
export function lentBurstPpm(account: TokenAccount): number {
  return account.lent.reduce((total, loan) => total + loan.grant.burstPpm, 0);
}

/**
 * Accrues tokens up to `now`. Each loan counts only up to its own end, which may
 * lie before the time of the call if the VM was paused.
 */
export function accrue(account: TokenAccount, now: number): TokenAccount {
  let state = account;
  while (state.at < now) {
    const until = nextChangeAt(state, now);
    const {rate} = effectiveLimitsAt(state.limits, state.at);
    const seconds = (until - state.at) / 1_000;
    const gained = (ratePpmOf(state) / FULL_SHARE_PPM) * rate * seconds;
    // Tokens accrued before a change are bounded by the capacity before it.
    state = capTokens({...state, tokens: state.tokens + gained});
    state = capTokens({
      ...state,
      at: until,
      lent: state.lent.filter(loan => loan.releaseAt > until),
      borrowed: state.borrowed.filter(loan => loan.expiresAt > until),
    });
  }
  return state;
}

/** Discards tokens above the account's present capacity. */
export function capTokens(account: TokenAccount): TokenAccount {
  const {burst} = effectiveLimitsAt(account.limits, account.at);
  const capacity = (burstPpmOf(account) / FULL_SHARE_PPM) * burst;
  if (account.tokens <= capacity) return account;
  return {...account, tokens: capacity};
}

/** Returns when the rate or capacity changes next, at most `now`. */
function nextChangeAt(account: TokenAccount, now: number): number {
  let next = now;
  const consider = (time: number): void => {
    if (time > account.at && time < next) next = time;
  };
  consider(account.confirmedUntil);
  for (const loan of account.lent) consider(loan.releaseAt);
  for (const loan of account.borrowed) consider(loan.expiresAt);
  for (const item of account.limits.replaced) {
    consider(item.replacedAt + PROOF_VALIDITY_MS);
  }
  return next;
}

function sumBorrowed(
  loans: readonly BorrowedLoan[],
  key: 'ratePpm' | 'burstPpm',
): number {
  return loans.reduce((total, loan) => total + loan[key], 0);
}
