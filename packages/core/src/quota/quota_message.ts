import type {LoanGrant, LoanRequest} from './loan.js';
import type {QuotaLimits} from './quota_limits.js';

/** An input of the quota decision logic of one VM. */
export type QuotaMessage =
  /** A statement requests one token and waits for it up to a deadline. */
  | {
      readonly kind: 'admit';
      readonly workspace: string;
      /** Identifies the statement in the effects that answer it. */
      readonly ticket: number;
      /** The time at which the statement is refused without a token. */
      readonly deadline: number;
    }
  /** A peer requests a loan. */
  | {readonly kind: 'loan-requested'; readonly request: LoanRequest}
  /** A loan request ended. The grant is undefined if no answer arrived. */
  | {
      readonly kind: 'loan-answered';
      readonly workspace: string;
      readonly requestId: string;
      readonly lender: string;
      readonly grant: LoanGrant | undefined;
    }
  /** A configuration was applied; carries its limits by workspace. */
  | {
      readonly kind: 'limits';
      readonly limits: ReadonlyMap<string, QuotaLimits>;
    }
  /** The share in the ledger, which is usable until `confirmedUntil`. */
  | {
      readonly kind: 'share';
      readonly sharePpm: number;
      readonly confirmedUntil: number;
    }
  /** The incarnations of the reachable peers. */
  | {readonly kind: 'peers'; readonly peers: readonly string[]}
  /** Time has passed: tokens accrue and waiting statements time out. */
  | {readonly kind: 'tick'};

/** An action that the caller carries out after a quota decision. */
export type QuotaEffect =
  | {readonly kind: 'admitted'; readonly ticket: number}
  | {readonly kind: 'refused'; readonly ticket: number}
  | {
      readonly kind: 'request-loan';
      readonly lender: string;
      readonly request: LoanRequest;
    }
  | {readonly kind: 'answer-loan'; readonly grant: LoanGrant};
