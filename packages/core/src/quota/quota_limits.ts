/** A share of 100 %. Shares are integers in ppm, so that sums are exact. */
export const FULL_SHARE_PPM = 1_000_000;

/** The longest time for which a statement waits for a token. */
export const MAX_ADMISSION_WAIT_MS = 200;

/** The longest duration of a share loan. */
export const MAX_SHARE_LOAN_MS = 3_000;

/**
 * The longest duration of a token loan. Waiting statements spend the tokens at
 * once. Until the loan ends, the lender has a lower capacity and loses the
 * tokens that it accrues above it.
 */
export const MAX_TOKEN_LOAN_MS = 50;

/**
 * The lender's wait as a multiple of the loan's duration. It exceeds 1 because
 * the clocks of lender and borrower may drift apart.
 */
export const LENDER_DURATION_FACTOR = 1.1;

/** The rate limit of one workspace, summed over all VMs. */
export interface QuotaLimits {
  /** Tokens per second. */
  readonly rate: number;
  /** The maximum number of tokens held at a time. */
  readonly burst: number;
}
