import {
  EMPTY_RETURN_SCHEDULE,
  scheduleReturn,
  withJitter,
} from '@pistachiorill/core';
import type {ExpectedLoad, ReturnSchedule} from '@pistachiorill/core';
import type {CheckoutRefusal} from './checkout.js';
import type {DatabaseDependencies} from './database_tools.js';
import {poolRefusal} from './lease_refusals.js';
import type {PoolRefusal} from './pool_request.js';

/** Refusals of a group, with the delays after which their callers return. */
export class OverloadRefusals {
  /** When the refused callers of each member and priority return. */
  private readonly schedules = new Map<string, ReturnSchedule>();

  constructor(
    private readonly deps: Pick<DatabaseDependencies, 'metrics' | 'random'>,
  ) {}

  /** Returns and counts the refusal of a request that a pool did not grant. */
  ofPool(
    reason: Exclude<PoolRefusal, 'pool-drained'>,
    member: string,
    priority: number,
    load: ExpectedLoad,
    now: number,
  ): CheckoutRefusal {
    const key = `${member} ${priority}`;
    const {schedule, delayMs} = scheduleReturn(
      this.schedules.get(key) ?? EMPTY_RETURN_SCHEDULE,
      load,
      this.deps.random,
      now,
    );
    this.schedules.set(key, schedule);
    this.deps.metrics?.overloaded(reason, priority);
    return {...poolRefusal(reason), retryAfterMs: delayMs};
  }

  /** Spreads the delay of a refusal, so that its callers return one by one. */
  spread(refusal: CheckoutRefusal): CheckoutRefusal {
    const retryAfterMs = withJitter(refusal.retryAfterMs, this.deps.random);
    return {...refusal, retryAfterMs};
  }
}
