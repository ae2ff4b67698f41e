import type {Random} from '../common/random.js';
import type {Refusal} from '../statement/refusal.js';
import {withdrawRetry} from './retry_budget.js';
import type {RetryBudget} from './retry_budget.js';

/** Whether a statement may be sent again after an unknown outcome. */
export type Repeatability =
  /** The statement is idempotent: running it twice has the effect of once. */
  | 'repeatable'
  /**
   * The request id of the statement is stored with its effect, so a repeat is
   * detected.
   */
  | 'recorded'
  /** The statement must not run twice. */
  | 'once';

/** A failed attempt to execute a statement. */
export interface FailedAttempt {
  readonly refusal: Refusal;
  readonly repeatability: Repeatability;
  /** The number of attempts so far, including this one. */
  readonly attemptCount: number;
  /** When the caller stops waiting. */
  readonly deadline: number;
}

/** Whether to send a failed statement again, and after which delay. */
export type RetryDecision =
  | {
      readonly kind: 'retry';
      readonly delayMs: number;
      /** The budget that remains after this retry. */
      readonly budget: RetryBudget;
    }
  | {
      readonly kind: 'give-up';
      /** `deadline` also if the number of attempts has reached the limit. */
      readonly reason: 'not-retryable' | 'deadline' | 'budget';
    };

const MAX_ATTEMPTS = 6;
const FIRST_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 320;

/**
 * Decides whether a failed statement is sent again. A statement that certainly
 * did not run may always be repeated. A statement with an unknown outcome is
 * repeated only if a repeat is harmless. The delay is random, below a limit
 * that doubles with each attempt.
 */
export function decideRetry(
  attempt: FailedAttempt,
  budget: RetryBudget,
  random: Random,
  now: number,
): RetryDecision {
  if (!isRetryable(attempt)) return {kind: 'give-up', reason: 'not-retryable'};
  const maxDelayMs = Math.min(
    MAX_BACKOFF_MS,
    FIRST_BACKOFF_MS * 2 ** (attempt.attemptCount - 1),
  );
  const delayMs = random.integer(0, maxDelayMs);
  if (
    attempt.attemptCount >= MAX_ATTEMPTS ||
    now + delayMs >= attempt.deadline
  ) {
    return {kind: 'give-up', reason: 'deadline'};
  }
  const remainingBudget = withdrawRetry(budget);
  return remainingBudget
    ? {kind: 'retry', delayMs, budget: remainingBudget}
    : {kind: 'give-up', reason: 'budget'};
}

function isRetryable(attempt: FailedAttempt): boolean {
  switch (attempt.refusal.kind) {
    case 'no-member':
      return true;
    case 'outcome-unknown':
      return attempt.repeatability !== 'once';
    default:
      return false;
  }
}
