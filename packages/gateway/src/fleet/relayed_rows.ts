import {
  earliestStoreTime,
  latestStoreTime,
  narrowStoreClockTo,
} from '@pistachiorill/core';
import type {StoreClock, StoreProof} from '@pistachiorill/core';
import type {CopyUpdate, TableChanges, TableCopy} from '@pistachiorill/store';

/** Asks a VM for the rows that changed after a version. */
export interface RelayRequest {
  readonly after: number;
  /** The store time up to which the caller's copy is proven; -1 for none. */
  readonly provenTo: number;
  /** How long the answer may be held until there is a newer proof. */
  readonly waitMs: number;
}

/** Changes of a VM's copy of the rows, as they are sent to a peer. */
export interface RelayedRows extends TableChanges {
  readonly asOfStoreMs: number;
  /** Bounds of the store's clock when the VM sent the changes. */
  readonly earliestStoreMs: number;
  readonly latestStoreMs: number;
}

/** Returns the rows that changed after a version, with the copy's proof. */
export function relayRows(
  copy: TableCopy,
  after: number,
  {asOfStoreMs}: StoreProof,
  storeClock: StoreClock,
  now: number,
): RelayedRows {
  return {
    ...copy.changesAfter(after),
    asOfStoreMs,
    earliestStoreMs: earliestStoreTime(storeClock, now),
    latestStoreMs: latestStoreTime(storeClock, now),
  };
}

/** Applies a peer's rows to the copy, unless the copy is newer. */
export function applyRelayedRows(
  copy: TableCopy,
  relayed: RelayedRows,
): CopyUpdate {
  if (relayed.after === 0) return copy.replace(relayed);
  // Changes before `after` would be missing.
  if (relayed.after > copy.version) return 'stale';
  return copy.update(relayed);
}

/** Narrows the bounds of the store's clock by those that a peer sent. */
export function narrowByRelay(
  storeClock: StoreClock,
  {earliestStoreMs, latestStoreMs}: RelayedRows,
  sentAt: number,
  receivedAt: number,
): StoreClock {
  return narrowStoreClockTo(storeClock, {
    minOffset: earliestStoreMs - receivedAt,
    maxOffset: latestStoreMs - sentAt,
  });
}
