import type {PeerSpare} from './borrow.js';
import {accrue, lentBurstPpm, lentRatePpm} from './token_account.js';
import type {TokenAccount} from './token_account.js';

/** A statement that waits for a token. */
export interface QuotaWaiter {
  /** Identifies the statement in the effects that answer it. */
  readonly ticket: number;
  /** The time at which the statement is refused without a token. */
  readonly deadline: number;
}

/** The quota of one workspace on one VM. */
export interface WorkspaceQuota {
  readonly account: TokenAccount;
  /** Statements that wait for a token, in the order of arrival. */
  readonly waiters: readonly QuotaWaiter[];
  /** What peers last reported that they can lend, by incarnation. */
  readonly peerSpare: ReadonlyMap<string, PeerSpare>;
}

/** The quota of all workspaces on one VM. */
export interface QuotaState {
  /** The VM's incarnation. */
  readonly self: string;
  /** The incarnations of the reachable peers. */
  readonly peers: readonly string[];
  /** This VM's share in the ledger. */
  readonly sharePpm: number;
  /** The time until which the ledger share is usable. */
  readonly confirmedUntil: number;
  readonly workspaces: ReadonlyMap<string, WorkspaceQuota>;
  /** The number of request ids that this incarnation has generated. */
  readonly requestCount: number;
}

/** Returns the state of a VM that has just started. */
export function newQuotaState(self: string): QuotaState {
  return {
    self,
    peers: [],
    sharePpm: 0,
    confirmedUntil: -Infinity,
    workspaces: new Map(),
    requestCount: 0,
  };
}

/** Returns the largest share, over all workspaces, that is lent out. */
export function maxLentPpm(state: QuotaState, now: number): number {
  const lent = [...state.workspaces.values()].map(quota => {
    const account = accrue(quota.account, now);
    return Math.max(lentRatePpm(account), lentBurstPpm(account));
  });
  return Math.max(0, ...lent);
}
