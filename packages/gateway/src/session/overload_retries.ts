import {
  INITIAL_RETRY_BUDGET,
  decideOverloadRetry,
  depositRetry,
  reduceRetries,
} from '@pistachiorill/core';
import type {Random, RetryBudget} from '@pistachiorill/core';
import type {JobFault} from '../database/member_connection.js';
import type {GatewayMetrics} from '../telemetry/gateway_metrics.js';

/** Why an attempt failed, as far as retries depend on it. */
export type FailureCause = 'busy' | 'connection-limit' | 'other';

/** A failed attempt and the statement that it belongs to. */
export interface FailedPlacement {
  readonly conclusion: 'retry' | 'final';
  readonly cause?: FailureCause;
  readonly priority: number;
  /** Whether other members may run the statement. */
  readonly hasOthers: boolean;
  /** The number of attempts that members refused as overloaded or full. */
  readonly refusals: number;
  /** The time after which an attempt is of no use. */
  readonly until: number;
}

/** What follows a failed attempt. */
export type RetryPlan =
  | {
      readonly kind: 'retry';
      readonly next: 'any-member' | 'other-member';
      readonly delayMs: number;
    }
  | {
      readonly kind: 'give-up';
      readonly reason: 'final' | 'time' | 'budget';
    };

/**
 * A read that this many members refused for their connection limits is repeated
 * without a delay, as the others may accept it.
 */
const REFUSALS_WITHOUT_DELAY = 2;

/** Returns why a job failed, as far as retries depend on it. */
export function causeOf({error}: JobFault): FailureCause {
  if (error?.kind === 'too-many-connections') return 'connection-limit';
  return error?.kind === 'busy' ? 'busy' : 'other';
}

/** Whether the member refused the statement as it is overloaded or full. */
export function isOverload(cause: FailureCause | undefined): boolean {
  return cause === 'busy' || cause === 'connection-limit';
}

/**
 * Decides on the retries of failed attempts. Those that members refused as
 * overloaded or full draw on a budget of their priority, so that the retries of
 * less urgent statements leave those of urgent ones alone.
 */
export class OverloadRetries {
  private readonly budgets = new Map<number, RetryBudget>();

  constructor(
    private readonly random: Random | undefined,
    private readonly metrics: GatewayMetrics | undefined,
  ) {}

  /** Records the first attempt of a statement. */
  started(priority: number): void {
    this.budgets.set(priority, depositRetry(this.budgetOf(priority)));
  }

  /** Decides whether another attempt is made, where and when. */
  plan(failed: FailedPlacement, now: number): RetryPlan {
    const {conclusion, cause, priority, hasOthers, refusals, until} = failed;
    if (conclusion === 'final') return {kind: 'give-up', reason: 'final'};
    if (now >= until) return {kind: 'give-up', reason: 'time'};
    if (!isOverload(cause)) {
      return {kind: 'retry', next: 'other-member', delayMs: 0};
    }
    const isAtOther =
      hasOthers && (cause === 'busy' || refusals <= REFUSALS_WITHOUT_DELAY);
    const budget = reduceRetries(this.budgetOf(priority));
    const decision = decideOverloadRetry(
      {next: isAtOther ? 'other-member' : 'same-member', refusals, until},
      budget,
      this.random,
      now,
    );
    if (decision.kind === 'give-up') {
      this.budgets.set(priority, budget);
      this.metrics?.retryDenied(decision.reason, priority);
      return decision;
    }
    this.budgets.set(priority, decision.budget);
    // A member at its connection limit is passed over while its pool opens no
    // connection, and may accept one later.
    const next = hasOthers && cause === 'busy' ? 'other-member' : 'any-member';
    return {kind: 'retry', next, delayMs: decision.delayMs};
  }

  private budgetOf(priority: number): RetryBudget {
    return this.budgets.get(priority) ?? INITIAL_RETRY_BUDGET;
  }
}
