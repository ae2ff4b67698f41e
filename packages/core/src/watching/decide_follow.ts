/** The longest time for which a watcher holds the request of a follower. */
const MAX_FOLLOW_MS = 3_000;
const MIN_FOLLOW_MS = 50;
/**
 * A follower asks a store that did not answer at this interval, after a second
 * call at once: the first may have used a connection that had gone silent.
 */
const STORE_RETRY_INTERVAL_MS = 2_500;
const IMMEDIATE_RETRIES = 1;

/** What a VM that follows a watcher knows of the store. */
export interface FollowState {
  /** When the store last confirmed this VM's copy, also through a watcher. */
  readonly confirmedAt: number;
  /** A copy that is older than this is confirmed by the store itself. */
  readonly maxAgeMs: number;
  /** When this VM last asked the store itself. */
  readonly askedStoreAt: number;
  /** How many calls to the store in a row got no answer. */
  readonly storeFailures: number;
}

/** Whether a VM follows its watcher, and for how long, or asks the store. */
export type FollowDecision =
  | {readonly kind: 'follow'; readonly waitMs: number}
  | {readonly kind: 'ask-store'};

/**
 * Decides how a VM that follows a watcher keeps its copy current. A watcher that
 * is silent, or that cannot reach the store, delays a change by no more than
 * `maxAgeMs`. While the store answers nobody, its followers ask it rarely, as
 * watchers report its return at once.
 */
export function decideFollow(
  {confirmedAt, maxAgeMs, askedStoreAt, storeFailures}: FollowState,
  now: number,
): FollowDecision {
  const untilTooOldMs = confirmedAt + maxAgeMs - now;
  const untilRetryMs =
    storeFailures > IMMEDIATE_RETRIES
      ? askedStoreAt + STORE_RETRY_INTERVAL_MS - now
      : 0;
  if (untilTooOldMs <= 0 && untilRetryMs <= 0) return {kind: 'ask-store'};
  const waitMs = Math.max(untilTooOldMs, Math.min(untilRetryMs, MAX_FOLLOW_MS));
  return {
    kind: 'follow',
    waitMs: Math.max(MIN_FOLLOW_MS, Math.min(MAX_FOLLOW_MS, waitMs)),
  };
}
