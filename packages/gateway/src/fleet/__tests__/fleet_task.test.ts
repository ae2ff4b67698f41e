import {afterEach, describe, expect, it} from 'vitest';
import {Random, rateHolderSharePpm, rateHoldersOf} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import {PeerSet} from '../../peers/peer_set.js';
import {silentLogger} from '../../testing/fake_group.js';
import {noWatchers} from '../../testing/fake_fleet_peers.js';
import {FakeStore} from '../../testing/fake_store.js';
import {FleetTask} from '../fleet_task.js';
import type {RelayedRows} from '../relayed_rows.js';
import {isProven, provenShares, primaryLeaseOf} from '../fleet_view.js';
import type {FleetView} from '../fleet_view.js';

const SETTLE_MS = 30;

/** The share of a rate that vm-a may spend, in parts per million. */
function spendable(view: FleetView, now: number): number {
  const table = provenShares(view, now);
  return table
    ? rateHolderSharePpm(table, rateHoldersOf(table, 'co-op'), 'vm-a')
    : 0;
}
let running: FleetTask | undefined;

afterEach(async () => {
  const task = running;
  if (task) await ask<void>(reply => task.tell({kind: 'leave', reply}));
});

function start(change: (store: FakeStore) => void = () => undefined) {
  const offset = {ms: 0};
  const clock = (): number => performance.now() + offset.ms;
  const store = new FakeStore(clock);
  change(store);
  const views: FleetView[] = [];
  const peers = new PeerSet(new Random(1));
  const task = new FleetTask({
    vm: 'vm-a',
    entry: {peers: '10.0.0.1:1', dataCentre: 'macon', incarnation: 'i-1'},
    store,
    peers,
    watcher: noWatchers(peers),
    clock,
    onView: view => views.push(view),
    onStoreFailure: () => undefined,
    log: silentLogger(),
    onFailed: err => {
      throw err;
    },
  });
  running = task;
  task.tell({kind: 'start'});
  return {task, store, views, clock, offset};
}

function settle(ms = SETTLE_MS): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

const LED = {phase: 'settled', primary: 'a'};

describe('FleetTask', () => {
  // Guards against the use of a primary by a VM that the coordinator of a
  // primary change cannot see: it must have read all rows up to its own
  // registration first.
  it('has joined only after it read its own registration', async () => {
    const {store, views} = start(fake => fake.put('leadership/wash', LED));
    await settle();
    const states = views.map(view => {
      const own = view.rows.vms.get('vm-a');
      const isRead = own !== undefined && own.version <= view.version;
      return `${own ? (isRead ? 'read' : 'written') : 'absent'}: ${view.joined}`;
    });
    expect([...new Set(states)]).toMatchSnapshot();
    expect(store.rows.has('vm/vm-a')).toBe(true);
  });

  // Guards against one request by every VM for each registration: when a whole
  // fleet starts at once, their number grows with the square of its size.
  it('receives registrations that follow each other in batches', async () => {
    const {store, views} = start(() => undefined);
    await settle();
    const before = store.changesDelivered;
    for (let vm = 0; vm < 15; vm++) {
      store.put(`vm/vm-${vm}`, {
        peers: 'x:1',
        dataCentre: 'b',
        incarnation: '',
      });
      await settle(4);
    }
    await settle(250);
    expect(views.at(-1)?.rows.vms.size).toBe(16);
    expect(store.changesDelivered - before).toBeLessThan(15 / 2);
  });

  // Guards against a primary lease that outlives its proof while the store is
  // unavailable.
  it('loses the primary lease while the store is unavailable', async () => {
    const {store, views, clock, offset} = start(fake =>
      fake.put('leadership/wash', LED),
    );
    await settle(80);
    const kindNow = (): string => {
      const view = views.at(-1);
      if (!view) return 'no view';
      const leadership = view.rows.leadership.get('wash');
      return primaryLeaseOf(view, leadership, clock()).kind;
    };
    const before = kindNow();
    store.mode = 'down';
    await settle();
    offset.ms += 9_000;
    const late = kindNow();
    offset.ms += 1_500;
    expect({before, late, after: kindNow()}).toEqual({
      before: 'granted',
      late: 'granted',
      after: 'denied',
    });
  });

  // Guards against a primary lease that lapses after the store is back, because
  // the first answer is held for the time of a watch.
  it('renews its proof as soon as the store answers again', async () => {
    const {store, views} = start();
    await settle(80);
    store.maxHoldMs = 3_000;
    store.mode = 'down';
    await settle(300);
    store.mode = 'answers';
    const {storeMs: answersAt} = store.copy();
    await settle(700);
    const asOf = views.at(-1)?.proof?.asOfStoreMs ?? -Infinity;
    expect(asOf >= answersAt ? 'renewed' : 'old').toMatchSnapshot();
  });

  // Guards against a VM that was declared lost and still spends its share.
  it('takes back a revoked share before it spends it', async () => {
    const {store, views, clock} = start(fake =>
      fake.put('shares', {'vm-a': {ppm: 500_000, revokedAt: 5}}),
    );
    await settle(120);
    const [first] = views;
    const last = views.at(-1);
    expect({
      first: first && spendable(first, clock()),
      last: last && spendable(last, clock()),
      row: store.rows.get('shares')?.value,
    }).toMatchSnapshot();
  });

  // Guards against a peer's older copy that replaces newer rows.
  it("applies a peer's newer copy, but not an older one", async () => {
    const {task, store, views, clock} = start();
    await settle();
    store.mode = 'down';
    const relay = (version: number, primary: string): void => {
      const now = clock();
      const relayed: RelayedRows = {
        rows: [
          ...store.rows.values(),
          {
            key: 'leadership/wash',
            value: JSON.stringify({phase: 'settled', primary}),
            version,
          },
        ],
        removed: [],
        after: 0,
        version,
        asOfStoreMs: now + 1_000_000,
        earliestStoreMs: now + 1_000_000,
        latestStoreMs: now + 1_000_000,
      };
      task.tell({kind: 'relayed', relayed, sentAt: now, receivedAt: now});
    };
    relay(900, 'b');
    relay(800, 'a');
    await settle();
    const view = views.at(-1);
    const proven = view && isProven(view, clock());
    const record = view?.rows.leadership.get('wash')?.record;
    expect({record, proven, version: view?.version}).toMatchSnapshot();
  });

  // Guards against a primary lease on an older record, because the read after a
  // lost history is older than the watch before it.
  it('rejects a read that is older than its copy', async () => {
    const {store, views} = start(fake => fake.put('leadership/wash', LED));
    await settle(80);
    const old = store.copy();
    store.put('leadership/wash', {
      phase: 'moving',
      from: 'a',
      reason: 'unreachable',
    });
    await settle();
    store.staleReads.push(old);
    store.loseHistory();
    await settle(400);
    store.put('duty', {holder: 'vm-a', fence: 1, acquiredAtStoreMs: 0});
    await settle();
    const phases = views.map(
      ({rows, version}) =>
        `${version}: ${rows.leadership.get('wash')?.record.phase}`,
    );
    expect([...new Set(phases)]).toMatchSnapshot();
  });

  // Guards against a lease on older rows at a peer, because a VM that has just
  // started read an older state and relays it with a new proof.
  it('relays no rows before it has joined', async () => {
    const {task, store} = start(fake => {
      fake.put('leadership/wash', LED);
      fake.mode = 'reads-only';
    });
    const relay = () =>
      ask<RelayedRows | undefined>(reply =>
        task.tell({
          kind: 'relay',
          request: {after: 0, provenTo: -1, waitMs: 0},
          reply,
        }),
      );
    await settle();
    const before = await relay();
    store.mode = 'answers';
    store.put('duty', {holder: 'vm-a', fence: 1, acquiredAtStoreMs: 0});
    await settle(80);
    const after = await relay();
    expect({
      before: before?.rows.length,
      after: after?.rows.length,
    }).toMatchSnapshot();
  });

  // Guards against reads without a pause, because the store loses its history
  // again and again.
  it('pauses between reads if the history is lost repeatedly', async () => {
    const {store} = start(fake => fake.put('leadership/wash', LED));
    await settle(80);
    const before = store.reads;
    store.mode = 'history-lost';
    await settle(1_000);
    const during = store.reads - before;
    store.mode = 'answers';
    expect(during).toBeLessThan(6);
  });
});
