import type {CoordinatorLease} from './leadership_record.js';
import {PRIMARY_LEASE_MS} from './primary_lease.js';

/**
 * Duration of the coordinator lease unless the holder renews it. It exceeds the
 * time limit of an order, so that no order of a former holder is still in
 * progress when the lease changes hands.
 */
export const COORDINATOR_LEASE_MS = 5_000;

/**
 * Added to the fencing number for each era of the store. The row of the copy may
 * lack the numbers of the last seconds before the store went back. A number is
 * taken at most once in the duration of a lease unless its holder stops, so this
 * exceeds what can be taken in any time for which the store loses its history.
 */
export const FENCE_ERA_STEP = 1_000_000;

/** The durations that define one kind of lease on the shared rows. */
export interface LeaseTerms {
  /** How long a lease lasts unless its holder renews it. */
  readonly durationMs: number;
  /** How long the first lease of an era waits, as the copy may lack a holder. */
  readonly eraWaitMs: number;
}

/**
 * The terms of the coordinator lease. The first lease of an era waits for the
 * duration of a primary lease. It is longer than a lease of a holder that the
 * copy lacks, and by then no VM that the copy lacks uses a primary either, so
 * that the change of a primary need not ask it.
 */
export const COORDINATOR_LEASE_TERMS: LeaseTerms = {
  durationMs: COORDINATOR_LEASE_MS,
  eraWaitMs: PRIMARY_LEASE_MS,
};

/** The store's era, and how long the VM has seen it. */
export interface LeaseEra {
  readonly number: number;
  readonly seenForMs: number;
  /** Whether the VM has read rows of an earlier era before. */
  readonly start: 'observed' | 'not-observed';
}

/** Whether a VM may acquire a lease, and with which number. */
export type CoordinatorLeaseDecision =
  /** The VM may acquire or renew the lease. */
  | {readonly kind: 'take'; readonly fence: number}
  /** Another VM holds the lease. */
  | {readonly kind: 'leave'; readonly holder: string}
  /** The store went back to a copy that may lack the last holder. */
  | {readonly kind: 'wait'};

/**
 * Decides whether a VM may acquire or renew a lease. Another VM's lease has
 * expired once its duration has passed at the earliest time that the store's
 * clock can show.
 */
export function decideCoordinatorLease(
  vm: string,
  current: CoordinatorLease | undefined,
  earliestStoreMs: number,
  era: LeaseEra,
  {durationMs, eraWaitMs}: LeaseTerms = COORDINATOR_LEASE_TERMS,
): CoordinatorLeaseDecision {
  if (current && isOfEra(current, era.number)) {
    if (current.holder === vm) return {kind: 'take', fence: current.fence};
    if (earliestStoreMs >= current.takenAt + durationMs) {
      return {kind: 'take', fence: current.fence + 1};
    }
    return {kind: 'leave', holder: current.holder};
  }
  const mayBeLacking = current !== undefined || era.start === 'observed';
  if (mayBeLacking && era.seenForMs < eraWaitMs) return {kind: 'wait'};
  // A program version that does not record the era may hold the lease.
  if (current && earliestStoreMs < current.takenAt + durationMs) {
    return {kind: 'wait'};
  }
  return {kind: 'take', fence: firstFence(current, era.number)};
}

/** The first number of an era exceeds all of earlier ones. */
function firstFence(copied: CoordinatorLease | undefined, era: number): number {
  if (!copied) return era * FENCE_ERA_STEP + 1;
  return copied.fence + (era - (copied.era ?? 0)) * FENCE_ERA_STEP;
}

/** Whether a lease was acquired in the present era of the store. */
export function isOfEra({era = 0}: CoordinatorLease, present: number): boolean {
  return era === present;
}

/**
 * Whether a VM holds a lease for at least another `orderMs`, so that an order
 * with this time limit ends before the lease.
 */
export function holdsCoordinatorLease(
  vm: string,
  current: CoordinatorLease,
  latestStoreMs: number,
  orderMs: number,
  era: number,
  {durationMs}: LeaseTerms = COORDINATOR_LEASE_TERMS,
): boolean {
  return (
    isOfEra(current, era) &&
    current.holder === vm &&
    latestStoreMs + orderMs < current.takenAt + durationMs
  );
}
