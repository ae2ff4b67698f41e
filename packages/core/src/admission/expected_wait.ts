/** An estimate of the service time in one connection pool. */
export interface ServiceTimeEstimate {
  /** The mean time for which a statement holds a connection; 0 if unknown. */
  readonly meanMs: number;
}

/** The weight of the latest statement in the moving average. */
const LATEST_SAMPLE_WEIGHT = 0.05;

/** Returns the estimate after one more statement. */
export function afterService(
  estimate: ServiceTimeEstimate,
  heldMs: number,
): ServiceTimeEstimate {
  if (estimate.meanMs === 0) return {meanMs: heldMs};
  const {meanMs} = estimate;
  return {meanMs: meanMs + (heldMs - meanMs) * LATEST_SAMPLE_WEIGHT};
}

/**
 * Returns the expected wait behind `ahead` statements. Assumes that all
 * connections are in use, so that one becomes free, on average, per mean service
 * time divided by their number.
 */
export function expectedWaitMs(
  estimate: ServiceTimeEstimate,
  ahead: number,
  connections: number,
): number {
  if (connections <= 0) return 0;
  return (estimate.meanMs * (ahead + 1)) / connections;
}
