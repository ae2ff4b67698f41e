/** How long a suspicion must last before an attempt starts. */
export const MIN_SUSPICION_MS = 1_500;

/** Start delay of an attempt for each VM that ranks before this one. */
export const RANK_DELAY_MS = 400;

/** How long an attempt waits for the store before it continues without it. */
export const STORE_TIMEOUT_MS = 500;

/** How long one phase of an attempt waits for the members. */
export const PHASE_TIMEOUT_MS = 2_500;

/**
 * How long an attempt waits for the other reachable members once a majority is
 * fenced.
 */
export const FENCE_WAIT_MS = 100;

/** Delay before a call that failed without an answer is repeated. */
export const RETRY_DELAY_MS = 200;

/** Delay before a call whose result is still outstanding is repeated. */
export const RESEND_DELAY_MS = 1_000;

/**
 * How long another VM's attempt may make no progress before this VM starts its
 * own.
 */
export const TAKEOVER_DELAY_MS = 1_000;

/** Bounds of the random delay after an abandoned attempt. */
export const BACKOFF_MIN_MS = 100;
export const BACKOFF_MAX_MS = 700;

/** A longer interval between two observations means that the VM was paused. */
export const PAUSE_THRESHOLD_MS = 1_000;

/**
 * Interval between two reports of a VM. A report with another kind or term is
 * sent at once.
 */
export const REPORT_INTERVAL_MS = 250;

/** Age at which a report that was not repeated expires. */
export const REPORT_LIFETIME_MS = 2_000;

/** Interval between two orders to one member to follow the primary. */
export const FOLLOW_ORDER_INTERVAL_MS = 1_000;

/**
 * Time from the configuration that makes a primary leave until a VM holds back
 * new writes and the switchover may start. The other VMs poll the configuration
 * every second and have applied it by then. Writes are therefore held only
 * until the running ones end, not until the configuration has spread.
 */
export const SWITCHOVER_SETTLE_MS = 1_500;
