import type {LedgerVm, PeerEntry, PeerState} from '@pistachiorill/core';
import {describe, expect, it} from 'vitest';
import type {MembershipView} from '../../membership/membership_view.js';
import {planRouting} from '../plan_routing.js';
import type {GroupRoutingPlan} from '../plan_routing.js';

const GROUP = {database: 'ledger-1', connectionLimit: 15};

function record(vm: string) {
  return {vm, dataCentre: vm[0] ?? '', address: `${vm}:1`, instance: `i-${vm}`};
}

function entry(vm: string, state: PeerState = 'alive'): PeerEntry {
  return {
    peer: record(vm),
    state,
    incarnation: 1,
    since: 0,
    lastFailedProbeAt: 0,
  };
}

function viewOf(changes: Partial<MembershipView>): MembershipView {
  return {
    self: record('a1'),
    peers: ['a2', 'b1', 'b2', 'c1', 'c2'].map(vm => entry(vm)),
    candidates: [],
    discovery: 'done',
    known: {configuration: 1, ledger: 0},
    applied: {configuration: 1, ledger: 0},
    ledger: {version: 0, vms: []},
    appliedLedgers: new Map(),
    confirmedUntil: 0,
    ...changes,
  };
}

function ledger(version: number, ...vms: string[]) {
  const members: LedgerVm[] = vms.map(vm => record(vm));
  return {version, vms: members};
}

function summary(plan: GroupRoutingPlan) {
  return {
    role: plan.role,
    ownerCount: plan.ownerCount,
    owners: plan.owners.map(owner => owner.vm),
    targets: plan.targets.map(target => `${target.vm} ${target.address}`),
    releasing: plan.releasing.map(vm => vm.vm),
  };
}

describe('planRouting', () => {
  // Guards against a VM that claims all connections just after its start,
  // because it has not discovered any other VM yet.
  it.each([
    ['discovery is pending', viewOf({peers: [], discovery: 'pending'})],
    [
      'others are candidates',
      viewOf({peers: [], candidates: ['a2', 'b1'].map(record)}),
    ],
    ['all are alive', viewOf({})],
    [
      'one is down',
      viewOf({peers: [entry('a2', 'down'), entry('b1'), entry('c1')]}),
    ],
  ] as const)('without a ledger: %s', (unusedName, view) => {
    expect({
      direct: summary(planRouting(GROUP, 'direct', view, undefined)),
      owners: summary(planRouting(GROUP, 'owners', view, undefined)),
    }).toMatchSnapshot();
  });

  // Guards against exceeding the connection limit of a member while an earlier
  // owner still has its share of the connections open.
  it('waits until earlier owners have applied the ledger', () => {
    const before = viewOf({ledger: ledger(1, 'a2', 'b1', 'c1')});
    const first = planRouting(GROUP, 'direct', before, undefined);
    const members = ledger(2, 'a1', 'a2', 'b1', 'c1');
    const applied = (...vms: string[]) =>
      new Map(vms.map(vm => [`i-${vm}`, 2]));
    const waiting = planRouting(
      GROUP,
      'direct',
      viewOf({ledger: members, appliedLedgers: applied('a2')}),
      first,
    );
    const later = planRouting(
      GROUP,
      'direct',
      viewOf({ledger: members, appliedLedgers: applied('a2', 'b1')}),
      waiting,
    );
    const reclaimed = planRouting(
      GROUP,
      'direct',
      viewOf({
        ledger: ledger(3, 'a1', 'a2', 'b1'),
        appliedLedgers: new Map([
          ['i-a2', 3],
          ['i-b1', 3],
        ]),
      }),
      later,
    );
    expect([first, waiting, later, reclaimed].map(summary)).toMatchSnapshot();
  });
});
