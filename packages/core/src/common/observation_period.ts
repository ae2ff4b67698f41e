/**
 * A time in which a process observed something again and again, without a gap
 * that could hide a change. A process that has just started has observed nothing
 * of the time before.
 */
export interface ObservationPeriod {
  readonly since: number;
  /** The time of the last observation. */
  readonly until: number;
}

/** Returns the period of a single observation. */
export function observedAt(at: number): ObservationPeriod {
  return {since: at, until: at};
}

/** Appends a period to an earlier one, unless the gap between them is too long. */
export function continueObservation(
  before: ObservationPeriod | undefined,
  next: ObservationPeriod,
  maxGapMs: number,
): ObservationPeriod {
  const isContinued =
    before !== undefined && next.since - before.until <= maxGapMs;
  return isContinued
    ? {since: Math.min(before.since, next.since), until: next.until}
    : next;
}

/** How long the observation lasted; 0 if there was none. */
export function observedMs(period: ObservationPeriod | undefined): number {
  return period ? period.until - period.since : 0;
}
