/**
 * `share` lends a part of the rate and burst, with tokens. `tokens` lends tokens
 * that are spent at once, with the burst needed to hold them. `renewal` extends
 * a share loan, so that the share is not idle between two loans.
 */
export type LoanKind = 'share' | 'tokens' | 'renewal';

/** A request for a loan. Its id is unique across VMs and restarts. */
export interface LoanRequest {
  readonly requestId: string;
  /** The borrower's incarnation. */
  readonly borrower: string;
  readonly workspace: string;
  readonly kind: LoanKind;
  /** The loan that a renewal extends. */
  readonly loanId?: string;
  /** The requested share, for kind `share`. */
  readonly ratePpm: number;
  /** The requested number of tokens, for kind `tokens`. */
  readonly tokens: number;
}

/** A lender's answer. All lent amounts are 0 if it declines. */
export interface LoanGrant {
  readonly requestId: string;
  readonly loanId: string;
  readonly ratePpm: number;
  readonly burstPpm: number;
  readonly tokens: number;
  /** Measured by the borrower from the time at which it sent the request. */
  readonly durationMs: number;
  /** The tokens that the lender can still lend; guides later requests. */
  readonly spareTokens: number;
}

/** A loan as recorded by the lender. */
export interface LentLoan {
  readonly grant: LoanGrant;
  readonly borrower: string;
  readonly kind: 'share' | 'tokens';
  /** The time from which the lender uses the lent amounts again. */
  readonly releaseAt: number;
}

/** A loan as recorded by the borrower. */
export interface BorrowedLoan {
  readonly loanId: string;
  readonly lender: string;
  readonly kind: 'share' | 'tokens';
  readonly ratePpm: number;
  readonly burstPpm: number;
  readonly expiresAt: number;
  /** Becomes `declined` when the lender refuses to extend the loan. */
  readonly renewal: 'possible' | 'declined';
}

/** A loan request that has not been answered. */
export interface PendingLoan {
  readonly request: LoanRequest;
  readonly lender: string;
  readonly sentAt: number;
}
