/** The average number of retries that each request allows. */
const RETRIES_PER_REQUEST = 0.1;

/** The number of retries that are allowed before the first request. */
const INITIAL_RETRIES = 3;

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

/** Takes one retry from the budget; returns undefined if none is left. */
export function withdrawRetry(budget: RetryBudget): RetryBudget | undefined {
  return budget.available >= 1 ? {available: budget.available - 1} : undefined;
}
