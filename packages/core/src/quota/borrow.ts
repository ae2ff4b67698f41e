import type {Random} from '../common/random.js';
import {significantDemandAt} from './demand_estimate.js';
import {effectiveLimitsAt} from './limit_history.js';
import {MIN_LOAN_TOKENS, neededRatePpm} from './decide_loan.js';
import type {
  BorrowedLoan,
  LoanGrant,
  LoanRequest,
  PendingLoan,
} from './loan.js';
import {MAX_TOKEN_LOAN_MS, FULL_SHARE_PPM} from './quota_limits.js';
import {accrue, capTokens, ratePpmOf} from './token_account.js';
import type {TokenAccount} from './token_account.js';

/** A loan request is dropped if no answer arrives within this time. */
const ANSWER_TIMEOUT_MS = MAX_TOKEN_LOAN_MS;

/** Pending requests per kind. With more, the grants could exceed the need. */
const MAX_PARALLEL_REQUESTS = 4;

/**
 * The smallest share request, as a fraction of an even share. A smaller shortage
 * is covered by token loans, since many small share loans need many renewals.
 */
const MIN_SHARE_REQUEST_FRACTION = 0.25;

/** A share loan is renewed when less than this time remains. */
const RENEWAL_WINDOW_MS = 1_000;

/** How long the spare tokens that a peer reported guide the choice of lender. */
const SPARE_VALIDITY_MS = 500;

/** A peer that declined a share loan is asked again after this time. */
const SHARE_RETRY_MS = 500;

/** A smaller shortage of tokens is a rounding error and is ignored. */
const MIN_MISSING_TOKENS = 1e-6;

/** What a peer last reported that it can lend. */
export interface PeerSpare {
  readonly tokens: number;
  readonly at: number;
  /** When the peer last declined a share loan, or -Infinity. */
  readonly declinedShareAt: number;
}

/** The inputs for the choice of lenders. */
export interface BorrowContext {
  /** The incarnation of the borrower. */
  readonly self: string;
  readonly workspace: string;
  /** The incarnations of the reachable peers. */
  readonly peers: readonly string[];
  /** What peers last reported that they can lend, by incarnation. */
  readonly peerSpare: ReadonlyMap<string, PeerSpare>;
  /** The number of statements that wait for a token. */
  readonly waitingCount: number;
  /** Returns a request id that this incarnation has not used. */
  readonly nextId: () => string;
  readonly random: Random;
}

/** Applies an answer. A late, repeated or unknown grant adds no loan. */
export function acceptGrant(
  account: TokenAccount,
  grant: LoanGrant,
  now: number,
): TokenAccount {
  const state = accrue(account, now);
  const pending = state.pending.find(
    item => item.request.requestId === grant.requestId,
  );
  if (!pending) return state;
  const answered = {
    ...state,
    pending: state.pending.filter(item => item !== pending),
  };
  const expiresAt = pending.sentAt + grant.durationMs;
  if (grant.durationMs <= 0 || expiresAt <= now) {
    return {
      ...answered,
      borrowed: answered.borrowed.map(loan =>
        loan.loanId === pending.request.loanId
          ? {...loan, renewal: 'declined'}
          : loan,
      ),
    };
  }
  if (pending.request.kind === 'renewal') {
    return {
      ...answered,
      borrowed: answered.borrowed.map(loan =>
        loan.loanId === grant.loanId
          ? {...loan, expiresAt: Math.max(loan.expiresAt, expiresAt)}
          : loan,
      ),
    };
  }
  const loan: BorrowedLoan = {
    loanId: grant.loanId,
    lender: pending.lender,
    kind: pending.request.kind,
    ratePpm: grant.ratePpm,
    burstPpm: grant.burstPpm,
    expiresAt,
    renewal: 'possible',
  };
  return capTokens({
    ...answered,
    tokens: answered.tokens + grant.tokens,
    borrowed: [...answered.borrowed, loan],
  });
}

/** Removes a pending request whose answer is lost. */
export function abandonRequest(
  account: TokenAccount,
  requestId: string,
): TokenAccount {
  return {
    ...account,
    pending: account.pending.filter(
      item => item.request.requestId !== requestId,
    ),
  };
}

/** Chooses the loan requests to send, by demand and waiting statements. */
export function planRequests(
  account: TokenAccount,
  context: BorrowContext,
  now: number,
): {readonly account: TokenAccount; readonly sent: readonly PendingLoan[]} {
  const state = accrue(account, now);
  const current = {
    ...state,
    pending: state.pending.filter(
      item => now - item.sentAt < ANSWER_TIMEOUT_MS,
    ),
  };
  const sent = [
    ...renewals(current, context, now),
    ...shareRequests(current, context, now),
    ...tokenRequests(current, context, now),
  ];
  return {
    account: {...current, pending: [...current.pending, ...sent]},
    sent,
  };
}

/** Requests the renewal of share loans that the VM's demand still needs. */
function renewals(
  state: TokenAccount,
  context: BorrowContext,
  now: number,
): PendingLoan[] {
  const neededSharePpm = neededRatePpm(state, now);
  let heldPpm = ratePpmOf(state);
  const due = state.borrowed.filter(
    loan =>
      loan.kind === 'share' &&
      loan.renewal === 'possible' &&
      loan.expiresAt - now < RENEWAL_WINDOW_MS &&
      context.peers.includes(loan.lender) &&
      !state.pending.some(item => item.request.loanId === loan.loanId),
  );
  const sent: PendingLoan[] = [];
  for (const loan of due) {
    if (heldPpm - loan.ratePpm >= neededSharePpm) {
      heldPpm -= loan.ratePpm;
      continue;
    }
    const {loanId} = loan;
    sent.push(
      createRequest(context, loan.lender, now, {kind: 'renewal', loanId}),
    );
  }
  return sent;
}

function shareRequests(
  state: TokenAccount,
  context: BorrowContext,
  now: number,
): PendingLoan[] {
  // Only a VM that is short of tokens borrows share, so that random peaks of
  // demand cause no share loans.
  const {rate, burst} = effectiveLimitsAt(state.limits, now);
  if (context.waitingCount === 0 && state.tokens >= Math.min(2, burst / 4)) {
    return [];
  }
  const heldPerSecond = (ratePpmOf(state) / FULL_SHARE_PPM) * rate;
  if (significantDemandAt(state.demand, now) <= heldPerSecond) return [];
  const pending = state.pending.filter(item => item.request.kind === 'share');
  const expectedPpm = pending.reduce(
    (sum, item) => sum + item.request.ratePpm,
    0,
  );
  const missingPpm = neededRatePpm(state, now) - ratePpmOf(state) - expectedPpm;
  const slots = MAX_PARALLEL_REQUESTS - pending.length;
  const minRequestPpm = Math.floor(
    (FULL_SHARE_PPM / (context.peers.length + 1)) * MIN_SHARE_REQUEST_FRACTION,
  );
  if (missingPpm < minRequestPpm || slots <= 0) return [];
  const lenders = lenderCandidates(state, context, 'share', now).slice(
    0,
    slots,
  );
  if (lenders.length === 0) return [];
  const ratePpm = Math.max(
    minRequestPpm,
    Math.ceil(missingPpm / lenders.length),
  );
  return lenders.map(({peer}) =>
    createRequest(context, peer, now, {kind: 'share', ratePpm}),
  );
}

/** Requests the tokens that the waiting statements lack. */
function tokenRequests(
  state: TokenAccount,
  context: BorrowContext,
  now: number,
): PendingLoan[] {
  const pending = state.pending.filter(item => item.request.kind === 'tokens');
  const requestedTokens = pending.reduce(
    (sum, item) => sum + item.request.tokens,
    0,
  );
  let missingTokens = context.waitingCount - state.tokens - requestedTokens;
  let slots = MAX_PARALLEL_REQUESTS - pending.length;
  const sent: PendingLoan[] = [];
  if (context.waitingCount === 0) return sent;
  for (const item of lenderCandidates(state, context, 'tokens', now)) {
    if (slots-- <= 0 || missingTokens < MIN_MISSING_TOKENS) break;
    // Tokens that are not spent would be lost at the end of the loan.
    const tokens = Math.min(missingTokens, item.expected);
    missingTokens -= tokens;
    sent.push(createRequest(context, item.peer, now, {kind: 'tokens', tokens}));
  }
  return sent;
}

/** Returns the possible lenders, those with the most spare tokens first. */
function lenderCandidates(
  state: TokenAccount,
  context: BorrowContext,
  kind: 'share' | 'tokens',
  now: number,
): ReadonlyArray<{readonly peer: string; readonly expected: number}> {
  const requestedLenders = new Set(
    state.pending
      .filter(item => item.request.kind === kind)
      .map(item => item.lender),
  );
  const {rate, burst} = effectiveLimitsAt(state.limits, now);
  const count = context.peers.length + 1;
  const declined = (peer: string): boolean => {
    const since = context.peerSpare.get(peer)?.declinedShareAt ?? -Infinity;
    return kind === 'share' && now - since < SHARE_RETRY_MS;
  };
  return (
    context.peers
      .filter(peer => !requestedLenders.has(peer) && !declined(peer))
      .map(peer => ({
        peer,
        // A peer without a recent answer is assumed to be full.
        expected: expectedSpare(
          context.peerSpare.get(peer),
          now,
          rate,
          burst,
          count,
        ),
        order: context.random.fraction(),
      }))
      // A peer that was recently empty is skipped until it has refilled.
      .filter(item => kind === 'share' || item.expected >= MIN_LOAN_TOKENS)
      .sort((a, b) => b.expected - a.expected || a.order - b.order)
  );
}

/** Estimates the tokens that a peer can lend by now. */
function expectedSpare(
  spare: PeerSpare | undefined,
  now: number,
  rate: number,
  burst: number,
  vmCount: number,
): number {
  const fullSpare = Math.max(MIN_LOAN_TOKENS, burst / vmCount);
  if (!spare || now - spare.at > SPARE_VALIDITY_MS) return fullSpare;
  const refilled = ((now - spare.at) / 1_000) * (rate / vmCount);
  return Math.min(fullSpare, spare.tokens + refilled);
}

function createRequest(
  context: BorrowContext,
  lender: string,
  now: number,
  fields: Pick<LoanRequest, 'kind'> & Partial<LoanRequest>,
): PendingLoan {
  return {
    lender,
    sentAt: now,
    request: {
      requestId: context.nextId(),
      borrower: context.self,
      workspace: context.workspace,
      ratePpm: 0,
      tokens: 0,
      ...fields,
    },
  };
}
