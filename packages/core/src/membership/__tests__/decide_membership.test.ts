import {describe, expect, it} from 'vitest';
import {Random} from '../../common/random.js';
import {decideMembership} from '../decide_membership.js';
import type {MembershipEvent} from '../decide_membership.js';
import {SUSPICION_TIMEOUT_MS, initialMembership} from '../membership_state.js';
import type {MembershipState} from '../membership_state.js';
import type {MembershipChange, PeerRecord, PeerState} from '../peer_record.js';
import {
  MAX_CHANGES_PER_MESSAGE,
  retransmissionLimit,
  selectChanges,
} from '../select_changes.js';

function peer(vm: string, instance = 'i1'): PeerRecord {
  return {vm, dataCentre: vm[0] ?? '', address: `${vm}:1`, instance};
}

function change(
  vm: string,
  state: PeerState,
  incarnation: number,
): MembershipChange {
  return {peer: peer(vm), state, incarnation};
}

function contactFrom(
  from: string,
  incarnation: number,
  ...changes: MembershipChange[]
): MembershipEvent {
  return {kind: 'contact', from: peer(from), incarnation, changes};
}

/** Applies events at the given times and summarises the outcome. */
function run(events: ReadonlyArray<readonly [number, MembershipEvent]>) {
  const random = new Random(7);
  let state: MembershipState = initialMembership(peer('a1'), 10);
  const actions: string[] = [];
  for (const [now, event] of events) {
    const decision = decideMembership(state, event, random, now);
    state = decision.state;
    for (const action of decision.actions) {
      const via =
        action.kind === 'probe-indirect'
          ? ` via ${action.via.map(item => item.vm).join(' ')}`
          : '';
      actions.push(`${now} ${action.kind} ${action.target.vm}${via}`);
    }
  }
  return {
    incarnation: state.incarnation,
    peers: [...state.peers.values()].map(
      entry => `${entry.peer.vm} ${entry.state} ${entry.incarnation}`,
    ),
    candidates: [...state.candidates.keys()],
    actions,
  };
}

const CONTACT = contactFrom(
  'b1',
  5,
  change('c1', 'alive', 5),
  change('b2', 'alive', 5),
);
const PROBE_FAILED: MembershipEvent = {kind: 'probe-failed', vm: 'c1'};
const TICK: MembershipEvent = {kind: 'tick'};
const NOT_REACHED: MembershipEvent = {
  kind: 'indirect-finished',
  vm: 'c1',
  outcome: 'not-reached',
};

describe('decideMembership', () => {
  const cases: ReadonlyArray<
    readonly [string, ReadonlyArray<readonly [number, MembershipEvent]>]
  > = [
    // Guards against a suspicion after a single lost packet.
    [
      'keeps an unresponsive peer alive that others reach',
      [
        [0, CONTACT],
        [1, PROBE_FAILED],
        [2, {kind: 'indirect-finished', vm: 'c1', outcome: 'reached'}],
      ],
    ],
    // Guards against marking a peer as down before it can refute.
    [
      'keeps a suspected peer until the suspicion times out',
      [
        [0, CONTACT],
        [1, PROBE_FAILED],
        [2, NOT_REACHED],
        [SUSPICION_TIMEOUT_MS + 1, TICK],
      ],
    ],
    [
      'marks a suspected peer as down if it does not refute in time',
      [
        [0, CONTACT],
        [1, PROBE_FAILED],
        [2, NOT_REACHED],
        [SUSPICION_TIMEOUT_MS + 2, TICK],
      ],
    ],
    // Guards against removing a live peer that has refuted.
    [
      'accepts a higher incarnation as a refutation',
      [
        [0, CONTACT],
        [2, NOT_REACHED],
        [3, contactFrom('c1', 6)],
        [SUSPICION_TIMEOUT_MS + 9, TICK],
      ],
    ],
    // Guards against an old update that ends a suspicion.
    [
      'does not accept the same incarnation as a refutation',
      [
        [0, CONTACT],
        [2, NOT_REACHED],
        [3, contactFrom('b1', 5, change('c1', 'alive', 5))],
      ],
    ],
    // Guards against other VMs removing this VM while it runs.
    [
      'raises its incarnation when it is reported as down',
      [[0, contactFrom('b1', 5, change('a1', 'down', 12))]],
    ],
    // Guards against probing and suspecting a stopped VM for long.
    [
      'keeps a VM as left in spite of an old update',
      [
        [0, CONTACT],
        [1, contactFrom('b1', 5, change('c1', 'left', 5))],
        [2, contactFrom('b2', 5, change('c1', 'alive', 5))],
      ],
    ],
    // Guards against treating the list, which lags behind, as a proof that a VM
    // is alive or down.
    [
      'makes listed VMs candidates only',
      [
        [0, CONTACT],
        [1, {kind: 'listed', peers: [peer('d1', ''), peer('b1', '')]}],
        [2, TICK],
        [3, TICK],
        [5_002, TICK],
      ],
    ],
    // Guards against a fleet that stays split after a partition has ended.
    [
      'probes again a peer that is down',
      [
        [0, contactFrom('c1', 5)],
        [1, NOT_REACHED],
        [2_001, TICK],
        [7_001, TICK],
        [7_300, PROBE_FAILED],
        [7_501, TICK],
        [12_300, TICK],
      ],
    ],
    // Guards against peers that suspect a VM that has stopped as planned.
    [
      'notifies several peers at once when it leaves',
      [
        [0, CONTACT],
        [1, {kind: 'leave'}],
      ],
    ],
    // Guards against peers that still treat a VM as left after it has returned.
    [
      'overrides its own departure when it returns',
      [
        [0, CONTACT],
        [1, {kind: 'leave'}],
        [2, {kind: 'return'}],
        [3, contactFrom('b1', 5, change('a1', 'left', 10))],
      ],
    ],
  ];

  it.each(cases)('%s', (unusedName, events) => {
    expect(run(events)).toMatchSnapshot();
  });
});

describe('changes of a message', () => {
  // Guards against messages that grow with the fleet and against changes that
  // are sent forever.
  it('are bounded in number and in retransmissions', () => {
    const random = new Random(3);
    const many = Array.from({length: 100}, (unused, index) =>
      change(`b${index}`, 'alive', 1),
    );
    let {state} = decideMembership(
      initialMembership(peer('a1'), 1),
      contactFrom('c1', 1, ...many),
      random,
      0,
    );
    const sent = new Map<string, number>();
    const sizes = new Set<number>();
    for (let i = 0; i < 200; i++) {
      const taken = selectChanges(state, 'c1', 'known', random);
      state = taken.state;
      sizes.add(taken.changes.length);
      for (const {peer: subject} of taken.changes) {
        sent.set(subject.vm, (sent.get(subject.vm) ?? 0) + 1);
      }
    }
    expect(Math.max(...sizes)).toBe(MAX_CHANGES_PER_MESSAGE);
    expect(new Set(sent.values())).toEqual(
      new Set([retransmissionLimit(state)]),
    );
    const forNewVm = selectChanges(state, 'b7', 'new', random).changes;
    expect(forNewVm.length).toBe(MAX_CHANGES_PER_MESSAGE);
  });

  // Guards against a suspected peer that never receives the suspicion.
  it('include the suspicion of the recipient', () => {
    const random = new Random(3);
    let {state} = decideMembership(
      initialMembership(peer('a1'), 1),
      contactFrom('c1', 4),
      random,
      0,
    );
    state = decideMembership(state, NOT_REACHED, random, 0).state;
    expect(selectChanges(state, 'c1', 'known', random).changes).toContainEqual(
      change('c1', 'suspect', 4),
    );
  });
});
