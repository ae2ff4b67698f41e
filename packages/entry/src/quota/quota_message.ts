import type {LoanGrant, LoanRequest, QuotaLimits} from '@pistachiorill/core';
import type {Reply} from '@pistachiorill/tasks';

/** The outcome of a statement's request for a token. */
export type AdmitOutcome = 'admitted' | 'refused';

/** Whether a VM uses its share. A drained VM no longer does. */
export type ShareUse = 'in-use' | 'ended';

/** Messages to the task that owns the tokens and loans of a VM. */
export type QuotaTaskMessage =
  /** Requests a token for a statement, which waits no longer than `until`. */
  | {
      readonly kind: 'admit';
      readonly workspace: string;
      readonly until: number;
      readonly reply: Reply<AdmitOutcome>;
    }
  /** A peer requests a loan. */
  | {
      readonly kind: 'loan-requested';
      readonly request: LoanRequest;
      readonly reply: Reply<LoanGrant>;
    }
  /** A loan request of this VM ended; no `grant` means no answer. */
  | {
      readonly kind: 'loan-answered';
      readonly lender: string;
      readonly request: LoanRequest;
      readonly grant: LoanGrant | undefined;
    }
  /** The rate and burst of each workspace. */
  | {
      readonly kind: 'limits';
      readonly limits: ReadonlyMap<string, QuotaLimits>;
    }
  /** The share that the ledger assigns to this VM. */
  | {readonly kind: 'share'; readonly sharePpm: number}
  /**
   * Lowers the share before the ledger is written. Answers the share that
   * remains, which is not less than what is currently lent.
   */
  | {
      readonly kind: 'lower-share';
      readonly toPpm: number;
      readonly reply: Reply<number>;
    }
  /** A VM that does not use its share admits nothing and lends nothing. */
  | {readonly kind: 'use'; readonly use: ShareUse}
  /** The time until which this VM's versions are confirmed as current. */
  | {readonly kind: 'confirmed'; readonly until: number}
  /** The instances of the VMs that are alive, as possible lenders. */
  | {readonly kind: 'peers'; readonly peers: readonly string[]}
  | {readonly kind: 'tick'};
