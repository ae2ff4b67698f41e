import {
  PRIMARY_LEASE_MS,
  UNKNOWN_STORE_CLOCK,
  isConfirmed,
  latestStoreTime,
  decidePrimaryLease,
} from '@pistachiorill/core';
import type {
  LeaseEra,
  PrimaryLeaseDecision,
  ShareTable,
  StoreClock,
  StoreProof,
  VersionedLeadership,
} from '@pistachiorill/core';
import type {FleetRows} from './fleet_rows.js';

/** The store's era, as this process has seen it. */
export interface EraView {
  readonly number: number;
  /** When this process first read rows of the era, by its clock. */
  readonly seenAt: number;
  /** Whether this process has read rows of an earlier era before. */
  readonly start: 'observed' | 'not-observed';
}

/** One VM's copy of the shared rows, and how recent it is. */
export interface FleetView {
  readonly rows: FleetRows;
  /** All rows up to this version of the store are included. */
  readonly version: number;
  /** The store time up to which the copy is complete. */
  readonly proof: StoreProof | undefined;
  /** Bounds of the offset between the store's clock and this VM's. */
  readonly storeClock: StoreClock;
  /** Whether the rows include this process's registration, not revoked. */
  readonly joined: 'joined' | 'not-joined';
  /** Undefined before the first rows are read. */
  readonly era: EraView | undefined;
}

/** The view of a VM that has not read any rows yet. */
export const EMPTY_FLEET_VIEW: FleetView = {
  rows: {
    vms: new Map(),
    leadership: new Map(),
    duty: undefined,
    shares: undefined,
    usageLease: undefined,
    usage: new Map(),
  },
  version: 0,
  proof: undefined,
  storeClock: UNKNOWN_STORE_CLOCK,
  joined: 'not-joined',
  era: undefined,
};

/**
 * Whether the view is recent enough to act on: its proof is younger than the
 * duration of a primary lease.
 */
export function isProven(view: FleetView, now: number): boolean {
  return (
    view.joined === 'joined' &&
    view.proof !== undefined &&
    latestStoreTime(view.storeClock, now) <
      view.proof.asOfStoreMs + PRIMARY_LEASE_MS
  );
}

/** The store counts as unresponsive once the proof is this old. */
const STORE_UNRESPONSIVE_AFTER_MS = 4_300;

/** Whether the store answered recently, so that it can be written to. */
export function isStoreResponsive(view: FleetView, now: number): boolean {
  return (
    view.proof !== undefined &&
    latestStoreTime(view.storeClock, now) - view.proof.asOfStoreMs <
      STORE_UNRESPONSIVE_AFTER_MS
  );
}

/** Returns the store's era for a decision on the coordinator lease. */
export function leaseEra(view: FleetView, now: number): LeaseEra {
  const {era} = view;
  if (!era) return {number: 0, seenForMs: 0, start: 'not-observed'};
  const {number, seenAt, start} = era;
  return {number, seenForMs: now - seenAt, start};
}

/**
 * Returns this VM's primary lease for a group at the given time. A record that
 * nobody has written in the present era is only proven by what was read in the
 * last era in which it was confirmed: the copy may lack that the primary is being
 * replaced.
 */
export function primaryLeaseOf(
  view: FleetView,
  leadership: VersionedLeadership | undefined,
  now: number,
): PrimaryLeaseDecision {
  return decidePrimaryLease(
    {
      record: leadership?.record,
      proof:
        !leadership || isConfirmed(leadership)
          ? view.proof
          : leadership.earlierProof,
      joined: view.joined,
    },
    latestStoreTime(view.storeClock, now),
  );
}

/** The shares of all VMs, if the view is recent enough to spend them. */
export function provenShares(
  view: FleetView,
  now: number,
): ShareTable | undefined {
  return isProven(view, now) ? view.rows.shares?.value : undefined;
}
