import {describe, expect, it} from 'vitest';
import {Random} from '../../common/random.js';
import type {LeadershipRecord} from '../leadership_record.js';
import {
  PRIMARY_LEASE_MS,
  mayHoldPrimaryLease,
  decidePrimaryLease,
} from '../primary_lease.js';
import type {PrimaryLeaseInput} from '../primary_lease.js';
import {
  UNKNOWN_STORE_CLOCK,
  widenStoreClock,
  narrowStoreClock,
  earliestStoreTime,
  latestStoreTime,
} from '../store_clock.js';

const SETTLED: LeadershipRecord = {phase: 'settled', primary: 'a'};
const MOVING: LeadershipRecord = {
  phase: 'moving',
  from: 'a',
  reason: 'unreachable',
};
const BASE_INPUT: PrimaryLeaseInput = {
  record: SETTLED,
  proof: {asOfStoreMs: 1_000},
  joined: 'joined',
};

const CASES: ReadonlyArray<
  readonly [string, Partial<PrimaryLeaseInput>, number]
> = [
  ['is granted with a recent proof', {}, 1_500],
  ['is granted just before it expires', {}, 1_000 + PRIMARY_LEASE_MS - 1],
  ['is denied once it expires', {}, 1_000 + PRIMARY_LEASE_MS],
  ['is denied without a proof', {proof: undefined}, 1_500],
  ['is denied to a VM that is not registered', {joined: 'not-joined'}, 1_500],
  ['is denied without a record', {record: undefined}, 1_500],
  ['moving', {record: MOVING}, 1_500],
  ['is denied while the clock of the store is unknown', {}, Infinity],
];

describe('primary lease', () => {
  // Guards against the use of a primary that may already have been replaced.
  it.each(CASES)('%s', (unusedName, change, latest) => {
    expect(
      decidePrimaryLease({...BASE_INPUT, ...change}, latest),
    ).toMatchSnapshot();
  });

  // Guards against a promotion while a VM that was not reached still holds a
  // primary lease. Clocks differ, answers are delayed and machines are paused.
  it('has expired when a VM that waits proceeds (seeds 1 to 300)', () => {
    for (let seed = 1; seed <= 300; seed++) {
      const random = new Random(seed);
      const holder = newClock(random);
      const waiter = newClock(random);
      const proofAt = random.integer(0, 50_000);
      const revokedAt = proofAt + random.integer(1, 3_000);
      for (let step = 0; step < 40; step++) {
        const storeMs = revokedAt + random.integer(0, 20_000);
        const isHeld =
          decidePrimaryLease(
            {...BASE_INPUT, proof: {asOfStoreMs: proofAt}},
            latestStoreTime(holder.clock, holder.local(storeMs)),
          ).kind === 'granted';
        const mayProceed = !mayHoldPrimaryLease(
          revokedAt,
          earliestStoreTime(waiter.clock, waiter.local(storeMs)),
        );
        expect(isHeld && mayProceed, `seed ${seed}`).toBe(false);
      }
    }
  });
});

/** Returns a VM's clock with bounds from a few answers of the store. */
function newClock(random: Random) {
  const offset = random.integer(-100_000, 100_000);
  const local = (storeMs: number): number => storeMs - offset;
  let clock = UNKNOWN_STORE_CLOCK;
  for (let i = 0; i < 4; i++) {
    const storeMs = random.integer(0, 50_000);
    const sentAt = local(storeMs) - random.integer(0, 3_000);
    const receivedAt = local(storeMs) + random.integer(0, 3_000);
    clock = narrowStoreClock(clock, storeMs, sentAt, receivedAt);
  }
  return {clock, local};
}

describe('store clock', () => {
  // Guards against bounds that stay too narrow after the VM's clock jumped.
  it('widens its bounds after a jump and narrows them afterwards', () => {
    const first = narrowStoreClock(UNKNOWN_STORE_CLOCK, 1_000, 400, 410);
    const skipped = widenStoreClock(first, 2_400);
    const second = narrowStoreClock(skipped, 1_100, 2_905, 2_915);
    const contradicting = narrowStoreClock(second, 9_000, 3_000, 3_010);
    expect({first, skipped, second, contradicting}).toMatchSnapshot();
  });
});
