import {describe, expect, it} from 'vitest';
import {
  COORDINATOR_LEASE_MS,
  decideCoordinatorLease,
  holdsCoordinatorLease,
} from '../take_duty.js';

const HELD = {holder: 'vm-a', fence: 7, takenAt: 1_000};

describe('coordinator lease', () => {
  // Guards against two holders at the same time, and against a fencing number
  // that two holders use.
  it('is granted by holder and time', () => {
    expect({
      nobody: decideCoordinatorLease('vm-a', undefined, 0),
      own: decideCoordinatorLease('vm-a', HELD, 500_000),
      fresh: decideCoordinatorLease(
        'vm-b',
        HELD,
        1_000 + COORDINATOR_LEASE_MS - 1,
      ),
      lapsed: decideCoordinatorLease(
        'vm-b',
        HELD,
        1_000 + COORDINATOR_LEASE_MS,
      ),
    }).toMatchSnapshot();
  });
});

describe('order of the coordinator', () => {
  // Guards against an order that arrives after an order of the next holder.
  it('is allowed only if it ends before the lease expires', () => {
    const end = 1_000 + COORDINATOR_LEASE_MS;
    expect([
      holdsCoordinatorLease('vm-a', HELD, end - 1_001, 1_000),
      holdsCoordinatorLease('vm-a', HELD, end - 1_000, 1_000),
      holdsCoordinatorLease('vm-b', HELD, 1_000, 1_000),
    ]).toEqual([true, false, false]);
  });
});
