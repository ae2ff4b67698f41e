import {describe, expect, it} from 'vitest';
import {listedMember} from '../../testing/fake_group.js';
import type {GroupView} from '../database_message.js';
import {poolLimitsOf, warmupShareOf} from '../member_shares.js';

/** What a VM is to the member. */
type Place = 'nearby' | 'elsewhere' | 'other';

/** The view of a VM of a group with two owners in each data centre. */
function viewOf(
  dataCentres: number,
  connectionLimit: number,
  vmCount: number,
  place: Place,
): GroupView {
  return {
    settings: {
      name: 'wash',
      connectionLimit,
      synchronousReplicas: 0,
      warmupPerSecond: 40,
    },
    members: [],
    dataCentresOut: new Set(),
    vmCount,
    owners: {
      role: place === 'other' ? 'other' : 'owner',
      count: 2 * dataCentres,
      near: () => ({
        count: 2,
        self: place === 'nearby' ? 'included' : 'not-included',
      }),
    },
  };
}

describe('shares of a member with owners', () => {
  // Guards against VMs that together keep more connections than a member
  // accepts, or send more than its warm-up rate, also while three VMs take
  // themselves for its two owners.
  it.each([
    [3, 56, 83],
    [6, 70, 63],
    [6, 53, 70],
    [6, 13, 40],
  ])('%i data centres, %i connections, %i VMs', (count, limit, vmCount) => {
    const member = listedMember('m', {slots: 4});
    const shareOf = (place: Place) => {
      const view = viewOf(count, limit, vmCount, place);
      const warmup = warmupShareOf(member, view);
      return {...poolLimitsOf(member, view), warmup};
    };
    const nearby = shareOf('nearby');
    const elsewhere = shareOf('elsewhere');
    const other = shareOf('other');
    expect({nearby, elsewhere, other}).toMatchSnapshot();
    const ownersElsewhere = 2 * (count - 1);
    expect(
      2 * nearby.share + ownersElsewhere * elsewhere.share,
    ).toBeLessThanOrEqual(limit * 0.75);
    expect(2 * nearby.connections + other.connections).toBeLessThan(limit);
    expect(3 * nearby.warmup + vmCount * other.warmup).toBeLessThanOrEqual(1);
  });
});
