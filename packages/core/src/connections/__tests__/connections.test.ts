import {describe, expect, it} from 'vitest';
import type {PeerState} from '../../membership/peer_record.js';
import {forwardTargets} from '../forward_targets.js';
import {connectionAllowance, groupOwners} from '../group_owners.js';
import type {OwnerCandidate, RoutingMode} from '../group_owners.js';
import {mayOpenConnections} from '../may_open_connections.js';

function fleet(count: number): OwnerCandidate[] {
  return Array.from({length: count}, (unused, index) => ({
    vm: `vm-${index}`,
    dataCentre: ['a', 'b', 'c'][index % 3] ?? '',
  }));
}

describe('groupOwners', () => {
  // Guards against opening more connections than a member accepts.
  it.each([
    ['owners', 6, 15],
    ['owners', 440, 15],
    ['direct', 6, 15],
    ['direct', 8, 15],
    ['direct', 8, 25],
    ['direct', 40, 25],
  ] as ReadonlyArray<readonly [RoutingMode, number, number]>)(
    'stays within the limit in %s mode with %i VMs and %i connections',
    (mode, count, connectionLimit) => {
      const group = {database: 'ledger-1', connectionLimit};
      const owners = groupOwners(group, mode, fleet(count));
      const allowance = connectionAllowance(connectionLimit, owners.length);
      expect(owners.length * (allowance + 1) + 1).toBeLessThanOrEqual(
        connectionLimit,
      );
      expect({
        owners: owners.map(({vm, dataCentre}) => `${dataCentre}/${vm}`),
        allowance,
      }).toMatchSnapshot();
    },
  );

  // Guards against replacing owners that a membership change does not affect.
  it('keeps the owners of the other data centres when one VM leaves', () => {
    const group = {database: 'ledger-1', connectionLimit: 15};
    const before = groupOwners(group, 'owners', fleet(9));
    const [removed] = before;
    const after = groupOwners(
      group,
      'owners',
      fleet(9).filter(vm => vm.vm !== removed?.vm),
    );
    const kept = after.filter(vm => before.some(other => other.vm === vm.vm));
    expect(kept.length).toBe(2);
  });
});

describe('forwardTargets', () => {
  const SELF = {vm: 'vm-9', dataCentre: 'b'};
  // Guards against forwarding to a VM that cannot respond.
  it.each([
    ['all alive', ['alive', 'alive', 'alive']],
    ['own data centre suspected', ['alive', 'suspect', 'alive']],
    ['own data centre down', ['alive', 'down', 'alive']],
    ['none', ['left', 'down', 'down']],
  ] as ReadonlyArray<readonly [string, readonly PeerState[]]>)(
    '%s',
    (unusedName, states) => {
      const owners = fleet(3).map((owner, index) => ({
        ...owner,
        state: states[index] ?? 'down',
      }));
      expect(
        forwardTargets(SELF, owners).map(owner => owner.vm),
      ).toMatchSnapshot();
    },
  );
});

describe('mayOpenConnections', () => {
  // Guards against two VMs that together exceed a member's connection limit.
  it.each([
    ['no previous owner', 'open', []],
    [
      'one has not applied the version',
      'wait',
      [[4, 'held'] as const, [5, 'held'] as const],
    ],
    [
      'the one that has not applied it was reclaimed',
      'open',
      [[4, 'reclaimed'] as const],
    ],
    ['all applied it', 'open', [[5, 'held'] as const, [6, 'held'] as const]],
  ] as const)('%s: %s', (unusedName, expected, previous) => {
    const owners = previous.map(([appliedLedger, share], index) => ({
      instance: `i${index}`,
      appliedLedger,
      share,
    }));
    expect(mayOpenConnections(5, owners)).toBe(expected);
  });
});
