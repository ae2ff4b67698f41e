import {describe, expect, it} from 'vitest';
import {listedMember} from '../../testing/fake_group.js';
import type {MemberConnection} from '../member_connection.js';
import {MemberTable} from '../member_table.js';

/** Creates a reusable connection without session values. */
function cleanConnection(): MemberConnection {
  const connection = {
    state: 'clean',
    values: new Map(),
    tell: () => undefined,
  };
  return connection as unknown as MemberConnection;
}

/** Returns the number of connections that a VM keeps open after a burst. */
function countIdleAfterBurst(connectionLimit: number, vmCount: number): number {
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
        priority: 1,
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
  for (const connection of granted) pool?.returnConnection(connection, 2_000);
  table.maintain(3_000);
  return pool?.size ?? -1;
}

describe('MemberTable', () => {
  // Guards against idle connections that use up a member's connection limit:
  // VMs that restart after a power loss, or most VMs of a large fleet, would get
  // none.
  it.each([
    [16, 8],
    [26, 6],
    [53, 8],
    [53, 70],
    [210, 62],
    [2, 1],
  ])(
    'keeps at most half of the connections idle: limit %i, %i VMs',
    (connections, vms) => {
      const kept = countIdleAfterBurst(connections, vms);
      const all = kept * vms;
      expect({kept, all}).toMatchSnapshot();
      // A VM that keeps any connection keeps at least one.
      expect(all).toBeLessThanOrEqual(Math.max(vms, connections / 2));
    },
  );
});
