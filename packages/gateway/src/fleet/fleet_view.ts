import {
  PRIMARY_RIGHT_MS,
  UNKNOWN_STORE_CLOCK,
  latestStoreTime,
  primaryRight,
} from '@pistachiorill/core';
import type {
  PrimaryRight,
  ShareTable,
  StoreClock,
  StoreProof,
  VersionedLeadership,
} from '@pistachiorill/core';
import type {FleetRows} from './fleet_rows.js';

/** One VM's knowledge of the shared rows at a moment. */
export interface FleetView {
  readonly rows: FleetRows;
  /** The newest version of the store that is known. */
  readonly version: number;
  readonly proof: StoreProof | undefined;
  readonly storeClock: StoreClock;
  /** Whether the rows show this process. */
  readonly joined: 'joined' | 'not-joined';
}

/** What a VM knows before it has read anything. */
export const EMPTY_FLEET_VIEW: FleetView = {
  rows: {
    vms: new Map(),
    leadership: new Map(),
    duty: undefined,
    shares: undefined,
  },
  version: 0,
  proof: undefined,
  storeClock: UNKNOWN_STORE_CLOCK,
  joined: 'not-joined',
};

/** Whether the view is recent enough to act on. */
export function isProven(view: FleetView, now: number): boolean {
  return (
    view.joined === 'joined' &&
    view.proof !== undefined &&
    latestStoreTime(view.storeClock, now) <
      view.proof.asOfStoreMs + PRIMARY_RIGHT_MS
  );
}

/** The age of a proof above which the store is taken not to answer. */
const STORE_SILENT_MS = 4_300;

/** Whether the store has answered lately, so that it can be written to. */
export function hearsStore(view: FleetView, now: number): boolean {
  return (
    view.proof !== undefined &&
    latestStoreTime(view.storeClock, now) - view.proof.asOfStoreMs <
      STORE_SILENT_MS
  );
}

/** The right to use a group's primary now. */
export function rightOf(
  view: FleetView,
  leadership: VersionedLeadership | undefined,
  now: number,
): PrimaryRight {
  return primaryRight(
    {
      record: leadership?.record,
      proof: view.proof,
      joined: view.joined,
    },
    latestStoreTime(view.storeClock, now),
  );
}

/** The shares of all VMs, while the view is recent enough to spend them. */
export function provenShares(
  view: FleetView,
  now: number,
): ShareTable | undefined {
  return isProven(view, now) ? view.rows.shares?.value : undefined;
}
