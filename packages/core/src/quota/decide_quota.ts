import type {Random} from '../common/random.js';
import {abandonRequest, acceptGrant, planRequests} from './borrow.js';
import {afterArrival} from './demand_estimate.js';
import {decideLoan} from './decide_loan.js';
import {changeLimits} from './limit_history.js';
import type {LoanRequest} from './loan.js';
import type {QuotaLimits} from './quota_limits.js';
import type {QuotaEffect, QuotaMessage} from './quota_message.js';
import type {QuotaState, WorkspaceQuota} from './quota_state.js';
import {accrue, capTokens, emptyAccount} from './token_account.js';

/** The state after a message, and the effects to carry out. */
export interface QuotaDecision {
  readonly state: QuotaState;
  readonly effects: readonly QuotaEffect[];
}

/** Applies one message to the quota state. */
export function decideQuota(
  state: QuotaState,
  message: QuotaMessage,
  random: Random,
  now: number,
): QuotaDecision {
  switch (message.kind) {
    case 'admit':
      return admit(state, message, random, now);
    case 'loan-requested':
      return answerRequest(state, message.request, now);
    case 'loan-answered':
      return applyLoanAnswer(state, message, random, now);
    case 'limits':
      return withoutEffects(applyLimits(state, message.limits, now));
    case 'share':
      return withoutEffects(applyShare(state, message, now));
    case 'peers':
      return withoutEffects({...state, peers: message.peers});
    case 'tick':
      return [...state.workspaces.keys()].reduce<QuotaDecision>(
        (decision, workspace) => {
          const next = admitWaiters(decision.state, workspace, random, now);
          return {
            state: next.state,
            effects: [...decision.effects, ...next.effects],
          };
        },
        withoutEffects(state),
      );
  }
}

function withoutEffects(state: QuotaState): QuotaDecision {
  return {state, effects: []};
}

function admit(
  state: QuotaState,
  message: Extract<QuotaMessage, {kind: 'admit'}>,
  random: Random,
  now: number,
): QuotaDecision {
  const quota = state.workspaces.get(message.workspace);
  const {ticket, deadline} = message;
  if (!quota) return {state, effects: [{kind: 'refused', ticket}]};
  const {account} = quota;
  const queued = withQuota(state, message.workspace, {
    ...quota,
    account: {...account, demand: afterArrival(account.demand, now)},
    waiters: [...quota.waiters, {ticket, deadline}],
  });
  return admitWaiters(queued, message.workspace, random, now);
}

/**
 * Admits waiting statements in the order of arrival, refuses those past their
 * deadline and requests loans for the others.
 */
function admitWaiters(
  state: QuotaState,
  workspace: string,
  random: Random,
  now: number,
): QuotaDecision {
  const quota = state.workspaces.get(workspace);
  if (!quota) return withoutEffects(state);
  const account = accrue(quota.account, now);
  const count = Math.min(Math.floor(account.tokens), quota.waiters.length);
  const admitted = quota.waiters.slice(0, count);
  const remaining = quota.waiters.slice(count);
  const waiters = remaining.filter(waiter => waiter.deadline > now);
  let {requestCount} = state;
  const plan = planRequests(
    {...account, tokens: account.tokens - count},
    {
      self: state.self,
      workspace,
      peers: state.peers,
      peerSpare: quota.peerSpare,
      waitingCount: waiters.length,
      nextId: () => `${state.self}/${++requestCount}`,
      random,
    },
    now,
  );
  const next = withQuota(state, workspace, {
    ...quota,
    account: plan.account,
    waiters,
  });
  return {
    state: {...next, requestCount},
    effects: [
      ...admitted.map(({ticket}) => ({kind: 'admitted', ticket}) as const),
      ...remaining
        .filter(waiter => waiter.deadline <= now)
        .map(({ticket}) => ({kind: 'refused', ticket}) as const),
      ...plan.sent.map(
        ({lender, request}) =>
          ({kind: 'request-loan', lender, request}) as const,
      ),
    ],
  };
}

function answerRequest(
  state: QuotaState,
  request: LoanRequest,
  now: number,
): QuotaDecision {
  const quota = state.workspaces.get(request.workspace);
  if (!quota) {
    return {
      state,
      effects: [
        {
          kind: 'answer-loan',
          grant: {
            requestId: request.requestId,
            loanId: request.loanId ?? request.requestId,
            ratePpm: 0,
            burstPpm: 0,
            tokens: 0,
            durationMs: 0,
            spareTokens: 0,
          },
        },
      ],
    };
  }
  const {account, grant} = decideLoan(
    quota.account,
    request,
    quota.waiters.length,
    now,
  );
  return {
    state: withQuota(state, request.workspace, {...quota, account}),
    effects: [{kind: 'answer-loan', grant}],
  };
}

function applyLoanAnswer(
  state: QuotaState,
  message: Extract<QuotaMessage, {kind: 'loan-answered'}>,
  random: Random,
  now: number,
): QuotaDecision {
  const {workspace, requestId, lender, grant} = message;
  const quota = state.workspaces.get(workspace);
  if (!quota) return withoutEffects(state);
  const account = grant
    ? acceptGrant(quota.account, grant, now)
    : abandonRequest(quota.account, requestId);
  const pendingRequest = quota.account.pending.find(
    item => item.request.requestId === requestId,
  );
  const declinedShare =
    pendingRequest?.request.kind === 'share' && !(grant && grant.ratePpm > 0);
  // A peer that did not answer counts as empty, which delays the next request.
  const spare = new Map(quota.peerSpare).set(lender, {
    tokens: grant?.spareTokens ?? 0,
    at: now,
    declinedShareAt: declinedShare
      ? now
      : (quota.peerSpare.get(lender)?.declinedShareAt ?? -Infinity),
  });
  const next = withQuota(state, workspace, {
    ...quota,
    account,
    peerSpare: spare,
  });
  return admitWaiters(next, workspace, random, now);
}

function applyLimits(
  state: QuotaState,
  limits: ReadonlyMap<string, QuotaLimits>,
  now: number,
): QuotaState {
  const next = new Map<string, WorkspaceQuota>();
  for (const [workspace, quota] of state.workspaces) {
    // A removed workspace keeps its account, since peers may still use its loans.
    const changed = limits.get(workspace) ?? {rate: 0, burst: 0};
    const account = accrue(quota.account, now);
    next.set(workspace, {
      ...quota,
      account: capTokens({
        ...account,
        limits: changeLimits(account.limits, changed, now),
      }),
    });
  }
  for (const [workspace, added] of limits) {
    if (next.has(workspace)) continue;
    const history = changeLimits(undefined, added, now);
    const {sharePpm, confirmedUntil} = state;
    next.set(workspace, {
      account: {...emptyAccount(history, now), sharePpm, confirmedUntil},
      waiters: [],
      peerSpare: new Map(),
    });
  }
  return {...state, workspaces: next};
}

function applyShare(
  state: QuotaState,
  share: {readonly sharePpm: number; readonly confirmedUntil: number},
  now: number,
): QuotaState {
  const {sharePpm, confirmedUntil} = share;
  const workspaces = new Map(
    [...state.workspaces].map(([workspace, quota]) => {
      const account = accrue(quota.account, now);
      return [
        workspace,
        {...quota, account: capTokens({...account, sharePpm, confirmedUntil})},
      ];
    }),
  );
  return {...state, sharePpm, confirmedUntil, workspaces};
}

function withQuota(
  state: QuotaState,
  workspace: string,
  quota: WorkspaceQuota,
): QuotaState {
  return {
    ...state,
    workspaces: new Map(state.workspaces).set(workspace, quota),
  };
}
