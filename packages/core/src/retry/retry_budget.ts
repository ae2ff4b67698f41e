/** The average number of retries that each request allows. */
const RETRIES_PER_REQUEST = 0.1;

/** The number of retries that are allowed before the first request. */
const INITIAL_RETRIES = 3;

/** The part of a retry that a refusal for overload takes from the budget. */
const REFUSAL_COST = 0.2;

/** The most retries that the budget can accumulate. */
const MAX_RETRIES = 20;

/**
 * The number of retries that may be sent now. Retries are limited to a fraction
 * of the recent requests, because repeated requests would slow a group down
 * further if it is slow for all callers.
 */
export interface RetryBudget {
  /** A fraction of a retry counts towards the next one. */
  readonly available: number;
}

/** The budget of a group that has received no requests yet. */
export const INITIAL_RETRY_BUDGET: RetryBudget = {available: INITIAL_RETRIES};

/** Adds the allowance of one first attempt. */
export function depositRetry(budget: RetryBudget): RetryBudget {
  return {
    available: Math.min(MAX_RETRIES, budget.available + RETRIES_PER_REQUEST),
  };
}

/**
 * Reduces the budget after a refusal for overload. Where over half of the
 * requests are refused, nothing is left for retries.
 */
export function reduceRetries(budget: RetryBudget): RetryBudget {
  return {available: Math.max(0, budget.available - REFUSAL_COST)};
}

/** Takes one retry from the budget; returns undefined if none is left. */
export function withdrawRetry(budget: RetryBudget): RetryBudget | undefined {
  return budget.available >= 1 ? {available: budget.available - 1} : undefined;
}
