import {describe, expect, it} from 'vitest';
import {listedMember} from '../../testing/fake_group.js';
import type {GroupView} from '../database_message.js';
import {poolLimitsOf, warmupShareOf} from '../member_shares.js';

/** What a VM is to the member. */
type Place = 'nearby' | 'elsewhere' | 'other';

/** The view of a VM of a group with some owners in each data centre. */
function viewOf(
  perDataCentre: number,
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
      count: perDataCentre * dataCentres,
      near: () => ({
        count: perDataCentre,
        self: place === 'nearby' ? 'included' : 'not-included',
      }),
    },
  };
}

describe('shares of a member with owners', () => {
  // Guards against VMs that together keep more connections than a member
  // accepts, or send more than its warm-up rate, also while one VM more
  // than its owners takes itself for one of them.
  it.each(
    [1, 2, 3, 4].flatMap(owners =>
      [
        [3, 56, 83],
        [6, 70, 63],
        [6, 53, 70],
        [6, 13, 40],
      ].map(([count = 0, limit = 0, vms = 0]) => ({owners, count, limit, vms})),
    ),
  )('%o', ({owners, count, limit, vms: vmCount}) => {
    const member = listedMember('m', {slots: 4});
    const shareOf = (place: Place) => {
      const view = viewOf(owners, count, limit, vmCount, place);
      const warmup = warmupShareOf(member, view);
      return {...poolLimitsOf(member, view), warmup};
    };
    const nearby = shareOf('nearby');
    const elsewhere = shareOf('elsewhere');
    const other = shareOf('other');
    expect({nearby, elsewhere, other}).toMatchSnapshot();
    const ownersElsewhere = owners * (count - 1);
    expect(
      owners * nearby.share + ownersElsewhere * elsewhere.share,
    ).toBeLessThanOrEqual(limit * 0.75);
    expect(owners * nearby.statements).toBeLessThanOrEqual(4 * 4 + owners);
    expect(owners * nearby.connections + other.connections).toBeLessThan(limit);
    expect(
      (owners + 1) * nearby.warmup + vmCount * other.warmup,
    ).toBeLessThanOrEqual(1);
  });
});
