/** An exponentially weighted estimate of the arrival rate. */
export interface DemandEstimate {
  readonly perSecond: number;
  readonly at: number;
}

/**
 * Short enough to follow a workspace whose clients switch to another VM, long
 * enough that single arrivals cause no share loans.
 */
const DEMAND_TIME_CONSTANT_MS = 2_000;

/** Returns the estimate at a later time, without further arrivals. */
export function demandAt(estimate: DemandEstimate, now: number): number {
  const elapsed = Math.max(0, now - estimate.at);
  return estimate.perSecond * Math.exp(-elapsed / DEMAND_TIME_CONSTANT_MS);
}

/** Returns the estimate after one more arrival. */
export function afterArrival(
  estimate: DemandEstimate,
  now: number,
): DemandEstimate {
  return {
    perSecond: demandAt(estimate, now) + 1_000 / DEMAND_TIME_CONSTANT_MS,
    at: Math.max(now, estimate.at),
  };
}

/** Fewer arrivals per time constant make the estimate too noisy to use as is. */
const MIN_SIGNIFICANT_ARRIVALS = 20;

/**
 * Returns the demand that is statistically significant. With few arrivals per
 * time constant, the estimate fluctuates by more than its own size; two standard
 * deviations are then subtracted.
 */
export function significantDemandAt(
  estimate: DemandEstimate,
  now: number,
): number {
  const perSecond = demandAt(estimate, now);
  const seconds = DEMAND_TIME_CONSTANT_MS / 1_000;
  if (perSecond * seconds >= MIN_SIGNIFICANT_ARRIVALS) return perSecond;
  return perSecond - 2 * Math.sqrt(perSecond / seconds);
}
