import {Random, fail} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import type {StoreReadError, TableReadResult} from '@pistachiorill/store';
import {TransactionalStore} from '@pistachiorill/store';
import type {RowTransaction} from '@pistachiorill/store';
import {ask} from '@pistachiorill/tasks';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {FleetTask} from '../../fleet/fleet_task.js';
import {EMPTY_FLEET_VIEW, primaryLeaseOf} from '../../fleet/fleet_view.js';
import type {FleetView} from '../../fleet/fleet_view.js';
import {PeerSet} from '../../peers/peer_set.js';
import {noWatchers} from '../../testing/fake_fleet_peers.js';
import {silentLogger} from '../../testing/fake_group.js';
import {FakeStore} from '../../testing/fake_store.js';
import {LeadershipRewriter} from '../leadership_rewriter.js';

const REVIEW_INTERVAL_MS = 250;
const KEY = 'leadership/wash';

/** One VM's link to the store, which can be cut. */
class Link extends TransactionalStore {
  state: 'good' | 'cut' = 'good';

  constructor(private readonly store: FakeStore) {
    super();
  }

  override readAll(): Promise<Result<TableReadResult, StoreReadError>> {
    return this.state === 'good' ? this.store.readAll() : this.failed();
  }

  override changes(after: number, waitMs: number) {
    if (this.state === 'cut') return this.failed();
    return this.store.changes(after, waitMs);
  }

  override transact(transaction: RowTransaction) {
    if (this.state === 'cut') return this.failed();
    return this.store.transact(transaction);
  }

  private async failed() {
    return fail({kind: 'unavailable' as const, detail: 'cut'});
  }
}

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

/** Starts a VM that writes records again; tells which primary it may use. */
function startVm(vm: string, store: FakeStore, rankDelayMs: number) {
  const clock = (): number => performance.now();
  const link = new Link(store);
  const peers = new PeerSet(new Random(1));
  let view: FleetView = EMPTY_FLEET_VIEW;
  const task = new FleetTask({
    vm,
    entry: {peers: '10.0.0.1:1', dataCentre: 'macon', incarnation: vm},
    store: link,
    peers,
    watcher: noWatchers(peers),
    clock,
    onView: newest => (view = newest),
    onStoreFailure: () => undefined,
    log: silentLogger(),
    onFailed: err => {
      throw err;
    },
  });
  const rewriter = new LeadershipRewriter({
    view: () => view,
    transact: transaction =>
      ask(reply => task.tell({kind: 'transact', transaction, reply})),
    log: silentLogger(),
    rankDelay: () => rankDelayMs,
  });
  const timer = setInterval(() => rewriter.review(clock()), REVIEW_INTERVAL_MS);
  task.tell({kind: 'start'});
  const lease = (): string => {
    const leadership = view.rows.leadership.get('wash');
    const decision = primaryLeaseOf(view, leadership, clock());
    return decision.kind === 'granted' ? decision.primary : decision.reason;
  };
  return {link, lease, stop: () => clearInterval(timer)};
}

describe('leadership records in a new era of the store', () => {
  // Guards against the use of a replaced primary, because the store went back to
  // a copy that lacks its successor.
  it('are written again by a VM that knows newer ones', async () => {
    const store = new FakeStore(() => performance.now());
    store.put(KEY, {phase: 'settled', primary: 'a'});
    const first = startVm('vm-a', store, 500);
    const second = startVm('vm-b', store, 0);
    await vi.advanceTimersByTimeAsync(1_000);
    const seen: string[] = [];
    const look = (when: string): void => {
      const row = store.rows.get(KEY);
      seen.push(`${when}: ${first.lease()} ${second.lease()} ${row?.value}`);
    };
    const copy = [...store.rows.values()];
    look('before');
    second.link.state = 'cut';
    await vi.advanceTimersByTimeAsync(100);
    store.put(KEY, {phase: 'settled', primary: 'b'});
    await vi.advanceTimersByTimeAsync(500);
    look('vm-b is cut off');
    store.restore(copy);
    await vi.advanceTimersByTimeAsync(100);
    look('after the copy');
    second.link.state = 'good';
    await vi.advanceTimersByTimeAsync(1_500);
    look('written again');
    first.stop();
    second.stop();
    expect(seen).toMatchSnapshot();
  });

  // Guards against a primary lease that is renewed on a record of the copy, of
  // which no VM can tell whether it is the newest.
  it('prove no new primary lease before they are written again', async () => {
    const store = new FakeStore(() => performance.now());
    store.put(KEY, {phase: 'settled', primary: 'a'});
    const known = startVm('vm-a', store, 0);
    await vi.advanceTimersByTimeAsync(1_000);
    store.restore([...store.rows.values()]);
    await vi.advanceTimersByTimeAsync(100);
    const started = startVm('vm-b', store, 60_000);
    const seen: string[] = [];
    for (const waitMs of [100, 2_400, 1_000]) {
      await vi.advanceTimersByTimeAsync(waitMs);
      const row = store.rows.get(KEY);
      seen.push(`${known.lease()} ${started.lease()} ${row?.value}`);
    }
    known.stop();
    started.stop();
    expect(seen).toMatchSnapshot();
  });
});
