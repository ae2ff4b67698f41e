import {describe, expect, it} from 'vitest';
import {FULL_SHARE_PPM} from '../../quota_limits.js';
import {initialShares} from '../share_table.js';
import type {ShareTable} from '../share_table.js';
import {rateHolderSharePpm, rateHoldersOf} from '../workspace_homes.js';

function fleet(size: number): ShareTable {
  return initialShares(Array.from({length: size}, (unused, i) => `vm-${i}`));
}

function sharesOf(table: ShareTable, workspace: string): readonly number[] {
  const holders = rateHoldersOf(table, workspace);
  return Object.keys(table).map(vm => rateHolderSharePpm(table, holders, vm));
}

describe('rateHoldersOf', () => {
  // Guards against assigning a rate more than once, and against shares of less
  // than one token in a large fleet.
  it.each([1, 8, 12, 13, 70, 440])('splits a rate across %i VMs', size => {
    const shares = sharesOf(fleet(size), 'co-op');
    const sum = shares.reduce((all, ppm) => all + ppm, 0);
    expect(sum).toBeLessThanOrEqual(FULL_SHARE_PPM);
    expect(sum).toBeGreaterThan(FULL_SHARE_PPM * 0.99);
    expect(shares.filter(ppm => ppm > 0).length).toBeLessThanOrEqual(12);
  });

  // Guards against replacing a rate holder that may still spend its share, and
  // against a lost VM that goes on spending.
  it('keeps a lost VM as rate holder until its share is distributed', () => {
    const table = fleet(70);
    const [lost = ''] = rateHoldersOf(table, 'co-op');
    const ppm = table[lost]?.ppm ?? 0;
    const revoked = {...table, [lost]: {ppm, revokedAt: 1}};
    expect(rateHoldersOf(revoked, 'co-op')).toEqual(
      rateHoldersOf(table, 'co-op'),
    );
    expect(
      rateHolderSharePpm(revoked, rateHoldersOf(revoked, 'co-op'), lost),
    ).toBe(0);
    const distributed = Object.fromEntries(
      Object.entries(revoked).filter(([vm]) => vm !== lost),
    );
    const kept = rateHoldersOf(table, 'co-op').filter(vm => vm !== lost);
    expect(rateHoldersOf(distributed, 'co-op')).toEqual(
      expect.arrayContaining(kept),
    );
  });

  // Guards against an entry without a share, such as that of a VM that was lost
  // before it got one, that changes the choice of the other rate holders.
  it('chooses only VMs with a share', () => {
    const table = fleet(70);
    const more = {...table, late: {ppm: 0, revokedAt: 5}};
    expect(rateHoldersOf(more, 'co-op')).toEqual(rateHoldersOf(table, 'co-op'));
  });
});
