import {oldestKeptRow, oldestUseful} from './usage_bounds.js';
import type {UsageBounds} from './usage_bounds.js';
import {newestWindow} from './usage_step.js';
import type {UsageRecords} from './usage_step.js';

/** Returns the records that are no longer needed; the newest one always is. */
export function obsoleteRecords(
  records: UsageRecords,
  bounds: UsageBounds,
  wallMs: number,
): readonly number[] {
  const newest = newestWindow(records) ?? Infinity;
  const oldest = Math.min(oldestKeptRow(wallMs, bounds), newest);
  return [...records.keys()].filter(window => window < oldest);
}

/** What a holder of the lease knows about the windows that it reviews. */
export interface ReviewedWindows {
  /** The last window that was reviewed before; undefined for a new holder. */
  readonly reviewedTo: number | undefined;
  readonly records: UsageRecords;
  readonly settled: ReadonlySet<number>;
  readonly firstRecordable: number;
}

/** The result of a review. */
export interface DroppedWindows {
  /** Windows that are given up without an accepted report. */
  readonly dropped: readonly number[];
  readonly reviewedTo: number;
  /** Nothing is sent any more for windows up to this one. */
  readonly givenUpTo: number;
}

/**
 * Returns the windows that are now given up without an accepted report, up to
 * `reviewedTo`. Those without a record before the first recordable one were
 * given up before. A holder reviews more often than rows are removed, so a longer
 * range is a jump of the clock; it is not reviewed, as the work and the log would
 * grow with the jump. After a jump back the review starts anew.
 */
export function reviewDropped(
  {reviewedTo, records, settled, firstRecordable}: ReviewedWindows,
  bounds: UsageBounds,
  wallMs: number,
): DroppedWindows {
  const last = oldestUseful(wallMs, bounds) - 1;
  const isAhead = reviewedTo !== undefined && reviewedTo > last + 1;
  const from =
    reviewedTo === undefined || isAhead
      ? last
      : Math.max(reviewedTo, oldestKeptRow(wallMs, bounds) - 1);
  const dropped: number[] = [];
  for (let window = from + 1; window <= last; window++) {
    const isOwed = records.has(window) || window >= firstRecordable;
    if (isOwed && !settled.has(window)) dropped.push(window);
  }
  return {dropped, reviewedTo: Math.max(from, last), givenUpTo: last};
}
