import {composeVersion} from '@pistachiorill/core';
import type {TableReadResult} from '@pistachiorill/store';
import {describe, expect, it} from 'vitest';
import {RowDecoder} from '../fleet_rows.js';
import {FleetState} from '../fleet_state.js';
import {primaryLeaseOf} from '../fleet_view.js';

const ENTRY = {peers: '10.0.0.1:1', dataCentre: 'macon', incarnation: 'i'};

/** A read of all rows; the leadership record tells the era of its write. */
function read(
  era: number,
  writtenIn: number,
  storeMs: number,
): TableReadResult {
  const version = composeVersion(era, 50);
  const record = {phase: 'settled', primary: 'a', era: writtenIn};
  return {
    rows: [
      {key: 'vm/vm-x', value: JSON.stringify(ENTRY), version},
      {key: 'leadership/wash', value: JSON.stringify(record), version},
    ],
    removed: [],
    version,
    storeMs,
    sentAt: storeMs,
    receivedAt: storeMs,
  };
}

type Read = readonly [era: number, writtenIn: number, storeMs: number];

describe('FleetState', () => {
  // Guards against a primary lease on a record of a copy that is proven by an
  // era in which nobody had confirmed the record.
  it.each<[string, readonly Read[]]>([
    ['confirmed', [[1, 1, 0]]],
    [
      'confirmed in the era before',
      [
        [1, 1, 0],
        [2, 1, 1_000],
      ],
    ],
    [
      'confirmed two short eras before',
      [
        [1, 1, 0],
        [2, 1, 1_000],
        [3, 1, 2_000],
      ],
    ],
    [
      'never confirmed',
      [
        [1, 0, 0],
        [2, 0, 1_000],
      ],
    ],
    [
      'never confirmed in a long era',
      [
        [1, 0, 0],
        [1, 0, 15_000],
        [2, 0, 16_000],
      ],
    ],
    [
      'confirmed too long ago',
      [
        [1, 1, 0],
        [2, 1, 1_000],
        [2, 1, 10_500],
      ],
    ],
  ])('grants a lease on a record: %s', (unusedName, reads) => {
    const state = new FleetState(
      {vm: 'vm-x', entry: ENTRY},
      new RowDecoder(() => undefined),
    );
    const leases = reads.map(([era, writtenIn, storeMs]) => {
      state.apply('all', read(era, writtenIn, storeMs));
      const view = state.decode();
      const leadership = view.rows.leadership.get('wash');
      return `${storeMs} ${primaryLeaseOf(view, leadership, storeMs).kind}`;
    });
    expect(leases).toMatchSnapshot();
  });
});
