import {UNKNOWN_STORE_CLOCK} from '@pistachiorill/core';
import {RowDecoder} from '../fleet/fleet_rows.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {FakeStore} from './fake_store.js';

/** How far the clock of a fake store is ahead of the caller's. */
const STORE_AHEAD_MS = 1_000_000;

const decoder = new RowDecoder(() => undefined);

/** The view of a VM that has just read all rows of a fake store. */
export function freshViewOf(store: FakeStore, now: number): FleetView {
  return {
    rows: decoder.decode(store.rows.values()),
    version: store.version,
    proof: {asOfStoreMs: now + STORE_AHEAD_MS},
    storeClock: {
      ...UNKNOWN_STORE_CLOCK,
      minOffset: STORE_AHEAD_MS,
      maxOffset: STORE_AHEAD_MS,
    },
    joined: 'joined',
    era: undefined,
  };
}
