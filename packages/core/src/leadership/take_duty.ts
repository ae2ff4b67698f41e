import type {CoordinatorLease} from './leadership_record.js';

/**
 * Duration of the coordinator lease unless the holder renews it. It exceeds the
 * time limit of an order, so that no order of a former holder is still in
 * progress when the lease changes hands.
 */
export const COORDINATOR_LEASE_MS = 5_000;

/** Whether a VM may acquire the coordinator lease, and with which number. */
export type CoordinatorLeaseDecision =
  /** The VM may acquire or renew the lease. */
  | {readonly kind: 'take'; readonly fence: number}
  /** Another VM holds the lease. */
  | {readonly kind: 'leave'; readonly holder: string};

/**
 * Decides whether a VM may acquire or renew the coordinator lease. Another VM's
 * lease has expired once its duration has passed at the earliest time that the
 * store's clock can show.
 */
export function decideCoordinatorLease(
  vm: string,
  current: CoordinatorLease | undefined,
  earliestStoreMs: number,
): CoordinatorLeaseDecision {
  if (!current) return {kind: 'take', fence: 1};
  if (current.holder === vm) return {kind: 'take', fence: current.fence};
  if (earliestStoreMs >= current.takenAt + COORDINATOR_LEASE_MS) {
    return {kind: 'take', fence: current.fence + 1};
  }
  return {kind: 'leave', holder: current.holder};
}

/**
 * Whether a VM holds the coordinator lease for at least another `orderMs`, so
 * that an order with this time limit ends before the lease.
 */
export function holdsCoordinatorLease(
  vm: string,
  current: CoordinatorLease,
  latestStoreMs: number,
  orderMs: number,
): boolean {
  return (
    current.holder === vm &&
    latestStoreMs + orderMs < current.takenAt + COORDINATOR_LEASE_MS
  );
}
