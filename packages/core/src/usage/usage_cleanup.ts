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

/**
 * Returns the windows that are now given up without an accepted report, up to
 * `reviewedTo`. Those without a record before the first recordable one were
 * given up before.
 */
export function reviewDropped(
  {reviewedTo, records, settled, firstRecordable}: ReviewedWindows,
  bounds: UsageBounds,
  wallMs: number,
): {readonly dropped: readonly number[]; readonly reviewedTo: number} {
  const last = oldestUseful(wallMs, bounds) - 1;
  const from = reviewedTo ?? last;
  const dropped: number[] = [];
  for (let window = from + 1; window <= last; window++) {
    const isOwed = records.has(window) || window >= firstRecordable;
    if (isOwed && !settled.has(window)) dropped.push(window);
  }
  return {dropped, reviewedTo: Math.max(from, last)};
}
