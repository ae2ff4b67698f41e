import type {Random} from '../common/random.js';
import {withdrawRetry} from './retry_budget.js';
import type {RetryBudget} from './retry_budget.js';

/** A statement that a member refused as it is overloaded or full. */
export interface RefusedAttempt {
  /** Where the statement can be tried next. */
  readonly next: 'same-member' | 'other-member';
  /** How often the statement was refused in this way. */
  readonly refusals: number;
  /** The time after which an attempt is of no use. */
  readonly until: number;
}

/** Whether to try the statement again, and after which delay. */
export type OverloadRetryDecision =
  | {
      readonly kind: 'retry';
      readonly delayMs: number;
      readonly budget: RetryBudget;
    }
  | {readonly kind: 'give-up'; readonly reason: 'budget' | 'time'};

const MAX_REFUSALS = 6;
/** The delay before the first repeat at the same member. Doubles with each. */
const FIRST_DELAY_MS = 20;
const MAX_DELAY_MS = 160;

/**
 * Decides whether a statement that a member refused is tried again. A member that
 * is full gets it only after a delay, from half to the whole of a limit that
 * doubles; another member gets it at once.
 */
export function decideOverloadRetry(
  {next, refusals, until}: RefusedAttempt,
  budget: RetryBudget,
  random: Random | undefined,
  now: number,
): OverloadRetryDecision {
  const maxMs = Math.min(MAX_DELAY_MS, FIRST_DELAY_MS * 2 ** (refusals - 1));
  const spread = random?.fraction() ?? 0.5;
  const delayMs = next === 'other-member' ? 0 : (maxMs * (1 + spread)) / 2;
  if (refusals >= MAX_REFUSALS || now + delayMs >= until) {
    return {kind: 'give-up', reason: 'time'};
  }
  const remaining = withdrawRetry(budget);
  return remaining
    ? {kind: 'retry', delayMs, budget: remaining}
    : {kind: 'give-up', reason: 'budget'};
}
