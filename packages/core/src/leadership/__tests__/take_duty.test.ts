import {describe, expect, it} from 'vitest';
import {PRIMARY_LEASE_MS} from '../primary_lease.js';
import {
  COORDINATOR_LEASE_MS,
  decideCoordinatorLease,
  holdsCoordinatorLease,
} from '../take_duty.js';

const HELD = {holder: 'vm-a', fence: 7, takenAt: 1_000};
const FIRST_ERA = {
  number: 0,
  seenForMs: 0,
  start: 'not-observed' as const,
};

describe('coordinator lease', () => {
  // Guards against two holders at the same time, and against a fencing number
  // that two holders use.
  it('is granted by holder and time', () => {
    expect({
      nobody: decideCoordinatorLease('vm-a', undefined, 0, FIRST_ERA),
      own: decideCoordinatorLease('vm-a', HELD, 500_000, FIRST_ERA),
      fresh: decideCoordinatorLease(
        'vm-b',
        HELD,
        1_000 + COORDINATOR_LEASE_MS - 1,
        FIRST_ERA,
      ),
      lapsed: decideCoordinatorLease(
        'vm-b',
        HELD,
        1_000 + COORDINATOR_LEASE_MS,
        FIRST_ERA,
      ),
    }).toMatchSnapshot();
  });
});

describe('lease with other terms', () => {
  // Guards against a usage lease that expires, or waits for a new era, like that
  // of the coordinator.
  it('lasts and waits as its terms say', () => {
    const terms = {durationMs: 700, eraWaitMs: 300};
    const decide = (storeMs: number, seenForMs: number, number = 0) =>
      decideCoordinatorLease(
        'vm-b',
        HELD,
        storeMs,
        {number, seenForMs, start: 'observed'},
        terms,
      );
    expect({
      held: decide(1_699, 0),
      expired: decide(1_700, 0),
      newEra: decide(9_000, 299, 1),
      oldEra: decide(9_000, 300, 1),
      order: [1_000, 1_001].map(latestMs =>
        holdsCoordinatorLease('vm-a', HELD, latestMs, 699, 0, terms),
      ),
    }).toMatchSnapshot();
  });
});

describe('order of the coordinator', () => {
  // Guards against an order that arrives after an order of the next holder.
  it('is allowed only if it ends before the lease expires', () => {
    const end = 1_000 + COORDINATOR_LEASE_MS;
    expect([
      holdsCoordinatorLease('vm-a', HELD, end - 1_001, 1_000, 0),
      holdsCoordinatorLease('vm-a', HELD, end - 1_000, 1_000, 0),
      holdsCoordinatorLease('vm-b', HELD, 1_000, 1_000, 0),
    ]).toEqual([true, false, false]);
  });
});

describe('coordinator lease after the store went back to a copy', () => {
  const lapsed = 1_000 + COORDINATOR_LEASE_MS;

  // Guards against a fencing number that a lost holder has used already, and
  // against two coordinators, of which the copy lacks one.
  it.each([
    ['the holder of the copy', 'vm-a', HELD, 'observed'],
    ['another VM', 'vm-b', HELD, 'observed'],
    ['a process that has just started', 'vm-b', HELD, 'not-observed'],
    ['no row in the copy', 'vm-b', undefined, 'observed'],
    ['no row at the first start', 'vm-b', undefined, 'not-observed'],
    ['a row of the era', 'vm-b', {...HELD, era: 2}, 'observed'],
  ] as const)('waits and skips numbers: %s', (unusedName, vm, lease, start) => {
    const decisions = [0, PRIMARY_LEASE_MS - 1, PRIMARY_LEASE_MS].map(
      seenForMs =>
        decideCoordinatorLease(vm, lease, lapsed, {
          number: 2,
          seenForMs,
          start,
        }),
    );
    const isHeld =
      lease && holdsCoordinatorLease('vm-a', lease, 1_000, 1_000, 2);
    expect({decisions, isHeld}).toMatchSnapshot();
  });
});
