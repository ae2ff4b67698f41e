import {describe, expect, it} from 'vitest';
import {listedMember} from '../../testing/fake_group.js';
import type {MemberConnection} from '../member_connection.js';
import {MemberTable} from '../member_table.js';

/** A connection that holds nothing and can be used again. */
function cleanConnection(): MemberConnection {
  const connection = {
    state: 'clean',
    values: new Map(),
    tell: () => undefined,
  };
  return connection as unknown as MemberConnection;
}

/** The connections that a VM keeps after a burst of statements. */
function keptAfterBurst(connectionLimit: number, vmCount: number): number {
  const table = new MemberTable({
    vm: {dataCentre: 'macon', region: 'ga'},
    regionOf: () => 'ga',
    open: cleanConnection,
  });
  const settings = {
    name: 'wash',
    connectionLimit,
    synchronousReplicas: 0,
    warmupPerSecond: 0,
  };
  const dataCentresOut = new Set<string>();
  table.setView(
    {settings, members: [listedMember('a')], dataCentresOut, vmCount},
    0,
  );
  const pool = table.pool('a');
  const granted: MemberConnection[] = [];
  for (let number = 0; number < 100; number++) {
    pool?.add(
      {
        workspace: 'co-op',
        values: new Map(),
        use: 'transaction',
        until: 1_000,
        grant: connection => granted.push(connection),
        refuse: () => undefined,
      },
      0,
    );
  }
  table.maintain(2_000);
  for (const connection of granted) pool?.release(connection, 2_000);
  table.maintain(3_000);
  return pool?.size ?? -1;
}

describe('MemberTable', () => {
  // Guards against idle connections that fill a member, so that VMs which come
  // back after a loss of power, or most VMs of a large fleet, get none.
  it.each([
    [16, 8],
    [26, 6],
    [53, 8],
    [53, 70],
    [210, 62],
    [2, 1],
  ])('with %i connections and %i VMs', (connections, vms) => {
    const kept = keptAfterBurst(connections, vms);
    const all = kept * vms;
    expect({kept, all}).toMatchSnapshot();
    // One connection of each VM is the least that can be kept at all.
    expect(all).toBeLessThanOrEqual(Math.max(vms, connections / 2));
  });
});
