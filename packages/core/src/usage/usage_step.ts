import type {FailedReport} from './report_attempts.js';
import type {WorkspaceCounts} from './usage_counts.js';
import {
  LEASE_RENEWAL_MS,
  collectAt,
  fixBy,
  leaseLeftAtSendMs,
  oldestUseful,
  usageLeaseTerms,
  windowAt,
} from './usage_bounds.js';
import type {UsageBounds} from './usage_bounds.js';

/** The recorded counts of a window, which never change. */
export interface UsageRecord {
  readonly counts: WorkspaceCounts;
  /** The era of the store in which the counts were recorded. */
  readonly era: number;
  /** How far the wall-clock time was ahead of the store's clock, if confirmed. */
  readonly wallOffset?: number | undefined;
}

/** The recorded counts by window. */
export type UsageRecords = ReadonlyMap<number, UsageRecord>;

/** When the process started, and when it first saw the present era. */
export interface UsageStart {
  readonly startedAt: number;
  readonly era: number;
  readonly eraSeenAt: number;
}

/**
 * Returns the first window whose counts may be recorded. Windows are recorded in
 * order, and the newest record is never removed, so that no clock makes a VM
 * record a window twice. After the store went back to a copy, windows that ended
 * before may have been recorded and reported with counts that the copy lacks.
 */
export function firstRecordable(
  records: UsageRecords,
  {startedAt, era, eraSeenAt}: UsageStart,
  bounds: UsageBounds,
): number {
  const newest = newestWindow(records);
  const next = newest === undefined ? undefined : newest + 1;
  const isOfEra = newest !== undefined && records.get(newest)?.era === era;
  if (next !== undefined && (isOfEra || era === 0)) return next;
  if (era === 0) return windowAt(startedAt, bounds);
  const firstOfEra = Math.ceil(eraSeenAt / bounds.windowMs) - 1;
  return Math.max(next ?? -Infinity, firstOfEra);
}

/** The newest window with a record. */
export function newestWindow(records: UsageRecords): number | undefined {
  return records.size === 0 ? undefined : Math.max(...records.keys());
}

/** This VM's part in the usage lease. */
export type UsageLeaseState =
  /** This VM holds the lease for another `leftMs` at least. */
  | {readonly kind: 'held'; readonly leftMs: number}
  /** This VM may acquire the lease now. */
  | {readonly kind: 'free'}
  /** Another VM holds the lease, or nobody may acquire it yet. */
  | {readonly kind: 'not-available'};

/** How far the counts of a window have been collected. */
export interface CollectionState {
  readonly window: number;
  readonly state: 'under-way' | 'incomplete' | 'complete';
  /** When VMs that have not answered are asked again, by this VM's clock. */
  readonly retryAt: number;
}

/** Whether the wall-clock time was compared with that of the VMs of late. */
export type ComparisonState = 'due' | 'under-way' | 'done';

/** The state that determines what a VM does for the reports. */
export interface UsageDutyState {
  readonly lease: UsageLeaseState;
  readonly records: UsageRecords;
  /** Windows whose report was answered for good, by this process. */
  readonly settled: ReadonlySet<number>;
  /** Reports by window that were sent without a final answer. */
  readonly failed: ReadonlyMap<number, FailedReport>;
  readonly firstRecordable: number;
  readonly collection: CollectionState | undefined;
  readonly comparison: ComparisonState;
  /** Whether counts may be recorded by this VM's wall-clock time. */
  readonly clock: 'trusted' | 'untrusted';
}

/** What a VM does next for the reports. */
export type UsageStep =
  | {readonly kind: 'wait'}
  | {readonly kind: 'acquire'}
  | {readonly kind: 'renew'}
  /** Asks all VMs for their wall-clock time. */
  | {readonly kind: 'compare-clocks'}
  /** Asks the VMs that have not answered for their counts of a window. */
  | {readonly kind: 'collect'; readonly window: number}
  /** Records the counts of a window in the store. */
  | {readonly kind: 'record'; readonly window: number}
  /** Sends the recorded counts of a window. */
  | {readonly kind: 'send'; readonly window: number};

const WAIT: UsageStep = {kind: 'wait'};

/** The present time. */
export interface UsageTime {
  /** The estimated wall-clock time, which may jump. */
  readonly wallMs: number;
  /** The time of this VM's clock, which measures pauses. */
  readonly now: number;
}

/**
 * Decides the next step. A successor sends all recorded counts again that are
 * not given up, as it does not know which ones have arrived. A report that was
 * never sent goes first, and one that failed last: a call without an answer takes
 * its full time limit, which would make later windows late. Clocks are compared
 * whatever this VM's clock shows: one that is behind has no window to collect.
 */
export function decideUsageStep(
  duty: UsageDutyState,
  bounds: UsageBounds,
  time: UsageTime,
): UsageStep {
  const {lease} = duty;
  if (lease.kind === 'not-available') return WAIT;
  if (lease.kind === 'free') return {kind: 'acquire'};
  const {durationMs} = usageLeaseTerms(bounds);
  if (durationMs - lease.leftMs >= LEASE_RENEWAL_MS) return {kind: 'renew'};
  const unsettled = unsettledWindows(duty, bounds, time.wallMs);
  const neverSent = unsettled.find(window => !duty.failed.has(window));
  if (neverSent !== undefined) return sendStep(neverSent, lease.leftMs, bounds);
  if (duty.comparison === 'due') return {kind: 'compare-clocks'};
  const step = decideCollection(duty, bounds, time);
  if (step.kind !== 'wait') return step;
  const retried = unsettled.find(window => {
    const failed = duty.failed.get(window);
    return failed !== undefined && time.now >= failed.retryAt;
  });
  return retried === undefined ? WAIT : sendStep(retried, lease.leftMs, bounds);
}

/** Sends a report if the lease outlasts it, and renews the lease otherwise. */
function sendStep(
  window: number,
  leftMs: number,
  bounds: UsageBounds,
): UsageStep {
  return leftMs > leaseLeftAtSendMs(bounds)
    ? {kind: 'send', window}
    : {kind: 'renew'};
}

/** The windows with a record whose report is of use, the oldest first. */
function unsettledWindows(
  {records, settled}: UsageDutyState,
  bounds: UsageBounds,
  wallMs: number,
): readonly number[] {
  const oldest = oldestUseful(wallMs, bounds);
  return [...records.keys()]
    .filter(window => window >= oldest && !settled.has(window))
    .sort((a, b) => a - b);
}

function decideCollection(
  {collection, firstRecordable: first, clock}: UsageDutyState,
  bounds: UsageBounds,
  {wallMs, now}: UsageTime,
): UsageStep {
  const window = Math.max(first, oldestUseful(wallMs, bounds));
  if (wallMs < collectAt(window, bounds)) return WAIT;
  if (collection?.window !== window) return {kind: 'collect', window};
  if (collection.state === 'under-way') return WAIT;
  const isReady =
    collection.state === 'complete' || wallMs >= fixBy(window, bounds);
  if (isReady && clock === 'trusted') return {kind: 'record', window};
  return now >= collection.retryAt ? {kind: 'collect', window} : WAIT;
}
