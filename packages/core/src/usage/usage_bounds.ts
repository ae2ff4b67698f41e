import type {LeaseTerms} from '../leadership/take_duty.js';

/** What a deployment requires of usage reports. */
export interface UsageBounds {
  /** The duration of a window of wall-clock time. */
  readonly windowMs: number;
  /** How long after the end of its window a report is due. */
  readonly lateMs: number;
  /** Two holders within this time may not act in the order A, B, A. */
  readonly leaseMs: number;
}

/** The time limit of one call that sends a report. */
export const REPORT_TIMEOUT_MS = 1_000;
/**
 * How old a lease may be when a report is sent, including the uncertainty of the
 * store's clock. A lease is renewed by the write that precedes a report.
 */
const MAX_LEASE_AGE_AT_SEND_MS = 1_500;
/**
 * A lease is renewed at this age. Recording the counts of a window renews it too,
 * so that windows of 5 s need one more write each.
 */
export const LEASE_RENEWAL_MS = 3_000;
/** A report is given up this long after it was due. */
const DROP_AFTER_DUE_MS = 10_000;
/**
 * Rows of reports are kept this long after the reports were given up. Above the
 * differences between the wall clocks of VMs.
 */
const ROW_RETENTION_MS = 30_000;
/**
 * Statements under way at the end of a window are counted when they are sent, so
 * this covers the clocks of VMs that differ and refusals that take a count back.
 */
const COLLECT_DELAY_MS = 2_500;
/** The counts are recorded this long before the report is due. */
const FIX_RESERVE_MS = 3_000;

/**
 * The terms of the usage lease. A call ends at least `leaseMs` before the lease
 * does, so that no other holder acts within that time of it.
 */
export function usageLeaseTerms({leaseMs}: UsageBounds): LeaseTerms {
  const durationMs = leaseMs + REPORT_TIMEOUT_MS + MAX_LEASE_AGE_AT_SEND_MS;
  return {durationMs, eraWaitMs: durationMs};
}

/** For how long the lease must still last when a report is sent. */
export function leaseLeftAtSendMs({leaseMs}: UsageBounds): number {
  return leaseMs + REPORT_TIMEOUT_MS;
}

/** The window that contains a time. */
export function windowAt(wallMs: number, {windowMs}: UsageBounds): number {
  return Math.floor(wallMs / windowMs);
}

/** The end of a window. */
export function windowEnd(window: number, {windowMs}: UsageBounds): number {
  return (window + 1) * windowMs;
}

/** From when on the counts of a window are collected. */
export function collectAt(window: number, bounds: UsageBounds): number {
  const delayMs = Math.min(COLLECT_DELAY_MS, bounds.lateMs / 4);
  return windowEnd(window, bounds) + delayMs;
}

/** By when counts are recorded, even if VMs have not answered. */
export function fixBy(window: number, bounds: UsageBounds): number {
  const waitMs = Math.max(bounds.lateMs / 2, bounds.lateMs - FIX_RESERVE_MS);
  return windowEnd(window, bounds) + waitMs;
}

/** When the report of a window is due. */
export function dueAt(window: number, bounds: UsageBounds): number {
  return windowEnd(window, bounds) + bounds.lateMs;
}

/** The oldest window whose report is not given up. */
export function oldestUseful(wallMs: number, bounds: UsageBounds): number {
  const givenUpMs = bounds.lateMs + DROP_AFTER_DUE_MS;
  return windowAt(wallMs - givenUpMs, bounds);
}

/** Rows of windows before this one are removed. */
export function oldestKeptRow(wallMs: number, bounds: UsageBounds): number {
  return oldestUseful(wallMs - ROW_RETENTION_MS, bounds);
}
