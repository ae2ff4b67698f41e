import {afterEach, describe, expect, it} from 'vitest';
import type {PrimaryChangeReason} from '@pistachiorill/core';
import type {FakeGroup} from '../../testing/fake_group.js';
import {startPrimaryChange} from '../../testing/fake_primary_change.js';

let group: FakeGroup | undefined;

afterEach(() => group?.close());

/** Prepares a change whose group is closed after the test. */
function start(
  reason: PrimaryChangeReason,
  peersOfFleet: readonly string[] = [],
) {
  const started = startPrimaryChange(reason, peersOfFleet);
  group = started.fake;
  return started;
}

type Started = ReturnType<typeof startPrimaryChange>;

const CASES: ReadonlyArray<
  readonly [string, PrimaryChangeReason, (started: Started) => void]
> = [
  [
    'replaces a primary that does not answer',
    'unreachable',
    ({fake}) => (fake.member('a').mode = 'silent'),
  ],
  [
    'promotes the member with the longer log',
    'unreachable',
    ({fake}) => {
      fake.member('a').mode = 'silent';
      fake.member('b').received = {term: 1, position: 12};
    },
  ],
  ['replaces a primary that is leaving', 'leaving', () => undefined],
  [
    'orders a promotion once if only the answer is lost',
    'unreachable',
    ({fake, orders}) => {
      fake.member('a').mode = 'silent';
      orders.faultMode = 'answer-lost-once';
    },
  ],
  [
    'orders a promotion again after it was rejected',
    'unreachable',
    ({fake, orders}) => {
      fake.member('a').mode = 'silent';
      orders.faultMode = 'rejected-once';
    },
  ],
  [
    'settles an abandoned change whose promotion took effect',
    'unreachable',
    ({fake, store}) => {
      store.put('leadership/wash', {
        phase: 'moving',
        from: 'a',
        reason: 'unreachable',
      });
      for (const name of ['a', 'b', 'c']) fake.member(name).term = 2;
      fake.member('a').role = 'replica';
      fake.member('b').role = 'primary';
    },
  ],
  [
    'orders nothing if the primary was replaced already',
    'unreachable',
    ({store}) => store.put('leadership/wash', {phase: 'settled', primary: 'c'}),
  ],
  [
    'orders nothing if another primary is being replaced',
    'unreachable',
    ({store}) =>
      store.put('leadership/wash', {
        phase: 'moving',
        from: 'b',
        reason: 'leaving',
      }),
  ],
  [
    'orders nothing if another VM took the coordinator lease',
    'unreachable',
    ({store}) =>
      store.put('duty', {holder: 'vm-b', fence: 5, takenAt: 1_000_000}),
  ],
];

describe('PrimaryChange', () => {
  // Guards against two promotions, an order without the coordinator lease, and
  // a primary change that never ends.
  it.each(CASES)('%s', async (unusedName, reason, setup) => {
    const started = start(reason);
    setup(started);
    expect(await started.result()).toMatchSnapshot();
  });

  // Guards against a primary that was replaced while it was cut off (review/1):
  // it was recorded as the successor of its own successor, without an order.
  // Promoted because no other member is left, it is recorded only once it leads
  // the new term.
  it.each([
    ['a replica is busy at first', 'busy'],
    ['no replica answers', 'silent'],
  ] as const)(
    'does not take an earlier primary for a promoted one: %s',
    async (unusedName, replica) => {
      const started = start('unreachable');
      const {fake, store, orders} = started;
      const term = 2;
      store.put('leadership/wash', {phase: 'settled', primary: 'a', term});
      fake.member('a').mode = 'silent';
      fake.member('a').term = 2;
      fake.member('b').role = 'primary';
      const third = fake.member('c');
      third.term = 2;
      third.received = {term: 2, position: 12};
      if (replica === 'busy') {
        third.errors.push({command: 'status', kind: 'busy'});
      } else {
        third.mode = 'silent';
        orders.faultMode = 'slow-once';
      }
      expect(await started.result()).toMatchSnapshot();
    },
  );

  // Guards against a former coordinator (review/4): it recorded the member of its
  // own order over the announcement of its successor, which had meanwhile ordered
  // the promotion of another one.
  it.each([
    ['announced the change anew', 'moving'],
    ['ended the change', 'settled'],
    ['took the lease for another group', 'unchanged'],
  ] as const)(
    'ends its change after another coordinator %s',
    async (unusedName, row) => {
      const started = start('unreachable');
      const {fake, store, orders} = started;
      fake.member('a').mode = 'silent';
      orders.onOrder = () => {
        store.put('duty', {holder: 'vm-b', fence: 5, takenAt: 1_000_000});
        const record = {
          moving: {phase: 'moving', from: 'a', reason: 'unreachable'},
          settled: {phase: 'settled', primary: 'b', term: 3},
          unchanged: undefined,
        }[row];
        if (record) store.put('leadership/wash', record);
      };
      expect(await started.result()).toMatchSnapshot();
    },
  );

  // Guards against endless writes without a pause by a change whose VM lost the
  // coordinator lease and holds it again for another change.
  it('does not extend a lease that its VM holds under another number', async () => {
    const started = start('unreachable');
    const {fake, store, orders} = started;
    fake.member('a').mode = 'silent';
    const duty = {holder: 'vm-a', fence: 6, takenAt: 1_000_000};
    orders.faultMode = 'rejected-once';
    orders.onOrder = () => store.put('duty', duty);
    const result = await started.result();
    const lease = JSON.parse(store.rows.get('duty')?.value ?? '');
    expect({...result, lease}).toMatchSnapshot();
  });

  // Guards against a return to the former primary by a VM whose coordinator
  // lease was taken over meanwhile: the promotion that the next coordinator
  // ordered may take effect later. Found by trouble-1 --seed 362867606744 of
  // leafmark-label on a trial of such a return.
  it.each(['kept', 'taken'] as const)(
    'reverts to the only answering member under its own lease: lease %s',
    async leaseState => {
      const started = start('unreachable');
      const {fake, store} = started;
      for (const name of ['b', 'c']) fake.member(name).mode = 'silent';
      const running = started.result();
      await new Promise(resolve => setTimeout(resolve, 1_500));
      if (leaseState === 'taken') {
        store.put('duty', {holder: 'vm-b', fence: 5, takenAt: 1_000_000});
        setTimeout(() => (started.offset.ms = 30_000), 2_000);
      }
      expect(await running).toMatchSnapshot();
    },
  );

  // Guards against a return to the former primary beside a member that this VM
  // has ordered to be promoted and that answers only other VMs.
  it.each([
    ['done', 'given-up'],
    ['answer-lost-once', 'given-up'],
    ['rejected-once', 'reverted'],
  ] as const)(
    'ends without a primary if its order may take effect: order %s',
    async (faultMode, outcome) => {
      const started = start('unreachable');
      const {fake, orders, offset} = started;
      orders.faultMode = faultMode;
      orders.onOrder = () => {
        for (const name of ['b', 'c']) fake.member(name).mode = 'silent';
        setTimeout(() => (offset.ms = 3_000), 300);
        setTimeout(() => (offset.ms = 30_000), 1_500);
      };
      expect((await started.result()).outcome).toBe(outcome);
    },
  );

  // Guards against a promotion while a VM may still use the former primary.
  it('waits for the primary lease of an unresponsive VM to end', async () => {
    const started = start('unreachable', ['vm-b', 'vm-c']);
    started.fake.member('a').mode = 'silent';
    started.peers.silent.add('vm-c');
    const running = started.result();
    await new Promise(resolve => setTimeout(resolve, 400));
    const early = [...started.orders.received];
    started.offset.ms = 10_500;
    const {outcome, orders} = await running;
    expect({
      early,
      outcome,
      orders: orders.length > 0,
      asked: [...new Set(started.peers.asked)],
      listed: [...started.store.rows.keys()].filter(key => /^vm/.test(key)),
    }).toMatchSnapshot();
  });

  // Guards against the replacement of a primary that is reachable again when
  // the VMs behind a partition can be asked, which drops its commits, and
  // against keeping it while it is still unreachable for most VMs or after the
  // coordinator lease was lost.
  it.each([
    ['reachable again', 'keep', 'kept'],
    ['reachable again for too few VMs', 'replace', 'kept'],
    ['reachable again after the lease was lost', 'keep', 'taken'],
  ] as const)(
    'evaluates again a primary that is %s',
    async (unusedName, verdict, leaseState) => {
      const started = start('unreachable', ['vm-b', 'vm-c']);
      const {peers, store, offset, orders} = started;
      started.verdicts.push(verdict);
      peers.silent.add('vm-c');
      const running = started.result();
      await new Promise(resolve => setTimeout(resolve, 300));
      offset.ms = 1_500;
      if (leaseState === 'taken') {
        store.put('duty', {holder: 'vm-b', fence: 5, takenAt: 1_000_000});
        setTimeout(() => (offset.ms = 30_000), 2_000);
      }
      peers.silent.clear();
      const {outcome, record} = await running;
      expect({outcome, record, orders: orders.received}).toMatchSnapshot();
    },
  );

  // Guards against a second VM that runs the same primary change, because the
  // coordinator lease of the first one ends while it waits for an unreachable
  // VM.
  it('extends the coordinator lease while it waits', async () => {
    const started = start('unreachable', ['vm-b']);
    const {peers, store, offset, clock} = started;
    started.verdicts.push('keep');
    store.put('duty', {
      holder: 'vm-a',
      fence: 4,
      takenAt: clock() + 1_000_000,
    });
    peers.silent.add('vm-b');
    const running = started.result();
    await new Promise(resolve => setTimeout(resolve, 200));
    offset.ms = 4_500;
    await new Promise(resolve => setTimeout(resolve, 500));
    const lease = JSON.parse(store.rows.get('duty')?.value ?? '');
    expect({
      holder: lease.holder,
      fence: lease.fence,
      isExtended: lease.takenAt > 1_000_000 + clock() - 1_000,
    }).toMatchSnapshot();
    peers.silent.clear();
    expect(await running).toMatchObject({outcome: 'reverted'});
  });

  // Guards against a primary change that waits a whole primary lease for a VM
  // that was declared lost long before (inc-efc0 of leafmark-label), and
  // against one that relies on a loss that is too recent or not certain.
  it.each([
    ['long ago', {lostByMsAgo: 9_900}],
    ['just now', {lostByMsAgo: 2_000}],
    ['at an unknown time', {lostByMsAgo: undefined}],
  ] as const)(
    'waits for a VM that was lost %s if needed',
    async (unusedName, {lostByMsAgo}) => {
      const started = start('unreachable', ['vm-b']);
      const {fake, peers, store, offset, clock, orders} = started;
      fake.member('a').mode = 'silent';
      peers.silent.add('vm-b');
      const storeMs = clock() + 1_000_000;
      const lostBy =
        lostByMsAgo === undefined ? undefined : storeMs - lostByMsAgo;
      const entry = {ppm: 500_000, revokedAt: storeMs - 9_900, lostBy};
      store.put('shares', {'vm-b': entry});
      const running = started.result();
      await new Promise(resolve => setTimeout(resolve, 2_000));
      const early = orders.received.length;
      offset.ms = 10_500;
      const {outcome} = await running;
      expect({early, outcome}).toMatchSnapshot();
    },
  );
});
