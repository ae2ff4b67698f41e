/** How statements of one connection pool have been served so far. */
export interface ServiceEstimate {
  /** The mean time for which a connection is held, or 0 if unknown. */
  readonly meanMs: number;
}

/** The weight of the last statement in the mean. */
const LATEST_SAMPLE_WEIGHT = 0.05;

/** The estimate after one more statement. */
export function afterService(
  estimate: ServiceEstimate,
  heldMs: number,
): ServiceEstimate {
  if (estimate.meanMs === 0) return {meanMs: heldMs};
  const {meanMs} = estimate;
  return {meanMs: meanMs + (heldMs - meanMs) * LATEST_SAMPLE_WEIGHT};
}

/**
 * The expected wait behind `ahead` statements. All places are in use, and on
 * average one becomes free each mean service time divided by their number.
 */
export function expectedWaitMs(
  estimate: ServiceEstimate,
  ahead: number,
  connections: number,
): number {
  if (connections <= 0) return 0;
  return (estimate.meanMs * (ahead + 1)) / connections;
}
