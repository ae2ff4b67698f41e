import {describe, expect, it} from 'vitest';
import {decideFollow} from '../decide_follow.js';
import {selectObservers} from '../select_observers.js';
import {selectWatchers} from '../select_watchers.js';

/** A fleet with VMs spread over the data centres in turn. */
function fleet(size: number): Map<string, string> {
  const dataCentres = ['macon', 'perry', 'warner'];
  return new Map(
    Array.from({length: size}, (unused, i) => [
      `vm-${i}`,
      dataCentres[i % dataCentres.length] ?? '',
    ]),
  );
}

describe('selectWatchers', () => {
  // Guards against store calls that grow with the fleet, and against a small
  // fleet that depends on two VMs.
  it.each([8, 12, 13, 200])('selects the watchers of %d VMs', size => {
    const vms = fleet(size);
    const watchers = selectWatchers(vms, 'perry');
    expect(watchers.map(vm => `${vm} in ${vms.get(vm)}`)).toMatchSnapshot();
  });

  // Guards against a new choice for everyone when one VM leaves.
  it('replaces only the watcher that left', () => {
    const vms = fleet(200);
    const [first = '', second] = selectWatchers(vms, 'perry');
    vms.delete(first);
    expect(selectWatchers(vms, 'perry')).toContain(second);
  });
});

describe('selectObservers', () => {
  // Guards against a status query by every VM of a large fleet, and against a
  // data centre whose VMs are not asked.
  it.each([8, 200])('selects the observers of %d VMs', size => {
    const vms = fleet(size);
    const observers = selectObservers(vms).map(vm => `${vm} in ${vms.get(vm)}`);
    expect(observers).toMatchSnapshot();
  });
});

const CASES: ReadonlyArray<readonly [string, number, number, number]> = [
  ['confirmed just now', 10_000, -Infinity, 0],
  ['about to be too old', 7_100, -Infinity, 0],
  ['too old', 6_900, -Infinity, 0],
  ['never confirmed', -Infinity, -Infinity, 0],
  ['too old, the store did not answer once', 6_900, 9_900, 1],
  ['too old, the store did not answer twice', 6_900, 9_900, 2],
  ['too old, the store has been away for long', 6_900, 7_600, 5],
  ['too old, the store is to be asked again', 6_900, 7_400, 5],
  ['confirmed by the store just now', 10_000, 10_000, 0],
];

describe('decideFollow', () => {
  // Guards against a copy that stays old behind a watcher that is cut off, and
  // against calls by the whole fleet to a store that is down.
  it.each(CASES)(
    '%s',
    (unusedName, confirmedAt, askedStoreAt, storeFailures) => {
      const state = {confirmedAt, maxAgeMs: 3_000, askedStoreAt, storeFailures};
      expect(decideFollow(state, 10_000)).toMatchSnapshot();
    },
  );
});
