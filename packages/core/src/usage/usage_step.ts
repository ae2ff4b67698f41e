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
  /** When VMs that have not answered are asked again. */
  readonly retryAt: number;
}

/** The state that determines what a VM does for the reports. */
export interface UsageDutyState {
  readonly lease: UsageLeaseState;
  readonly records: UsageRecords;
  /** Windows whose report was answered for good, by this process. */
  readonly settled: ReadonlySet<number>;
  /** When a report that failed may be sent again. */
  readonly resendAt: number;
  readonly firstRecordable: number;
  readonly collection: CollectionState | undefined;
}

/** What a VM does next for the reports. */
export type UsageStep =
  | {readonly kind: 'wait'}
  | {readonly kind: 'acquire'}
  | {readonly kind: 'renew'}
  /** Asks the VMs that have not answered for their counts of a window. */
  | {readonly kind: 'collect'; readonly window: number}
  /** Records the counts of a window in the store. */
  | {readonly kind: 'record'; readonly window: number}
  /** Sends the recorded counts of a window. */
  | {readonly kind: 'send'; readonly window: number};

const WAIT: UsageStep = {kind: 'wait'};

/**
 * Decides the next step. A successor sends all recorded counts again that are
 * not given up, as it does not know which ones have arrived.
 */
export function decideUsageStep(
  duty: UsageDutyState,
  bounds: UsageBounds,
  wallMs: number,
): UsageStep {
  const {lease} = duty;
  if (lease.kind === 'not-available') return WAIT;
  if (lease.kind === 'free') return {kind: 'acquire'};
  const {durationMs} = usageLeaseTerms(bounds);
  if (durationMs - lease.leftMs >= LEASE_RENEWAL_MS) return {kind: 'renew'};
  const unsent = oldestUnsent(duty, bounds, wallMs);
  if (unsent !== undefined && wallMs >= duty.resendAt) {
    return lease.leftMs > leaseLeftAtSendMs(bounds)
      ? {kind: 'send', window: unsent}
      : {kind: 'renew'};
  }
  return decideCollection(duty, bounds, wallMs);
}

function oldestUnsent(
  {records, settled}: UsageDutyState,
  bounds: UsageBounds,
  wallMs: number,
): number | undefined {
  const oldest = oldestUseful(wallMs, bounds);
  const unsent = [...records.keys()].filter(
    window => window >= oldest && !settled.has(window),
  );
  return unsent.length === 0 ? undefined : Math.min(...unsent);
}

function decideCollection(
  {collection, firstRecordable: first}: UsageDutyState,
  bounds: UsageBounds,
  wallMs: number,
): UsageStep {
  const window = Math.max(first, oldestUseful(wallMs, bounds));
  if (wallMs < collectAt(window, bounds)) return WAIT;
  if (collection?.window !== window) return {kind: 'collect', window};
  if (collection.state === 'complete') return {kind: 'record', window};
  if (collection.state === 'under-way') return WAIT;
  if (wallMs >= fixBy(window, bounds)) return {kind: 'record', window};
  return wallMs >= collection.retryAt ? {kind: 'collect', window} : WAIT;
}
