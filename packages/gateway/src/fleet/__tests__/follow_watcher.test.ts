import {fail, selectWatchers} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import type {StoreReadError, TableReadResult} from '@pistachiorill/store';
import {ask} from '@pistachiorill/tasks';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {
  FakeFleet,
  FakeFleetPeers,
  fleetOf,
} from '../../testing/fake_fleet_peers.js';
import {silentLogger} from '../../testing/fake_group.js';
import {FakeStore} from '../../testing/fake_store.js';
import {FleetTask} from '../fleet_task.js';
import {EMPTY_FLEET_VIEW, isProven} from '../fleet_view.js';
import type {FleetView} from '../fleet_view.js';
import type {RelayedRows} from '../relayed_rows.js';

const VMS = 30;

/** One VM's connection to a shared store, which counts its calls. */
class StoreConnection extends FakeStore {
  constructor(
    private readonly shared: FakeStore,
    private readonly isCut: () => boolean,
    private readonly onCall: () => void,
  ) {
    super(() => performance.now());
  }

  override async readAll() {
    return this.pass(() => this.shared.readAll());
  }

  override async changes(after: number, waitMs: number) {
    return this.pass(() => this.shared.changes(after, waitMs));
  }

  override async transact(change: Parameters<FakeStore['transact']>[0]) {
    return this.shared.transact(change);
  }

  private async pass(
    call: () => Promise<Result<TableReadResult, StoreReadError>>,
  ): Promise<Result<TableReadResult, StoreReadError>> {
    this.onCall();
    return this.isCut() ? fail({kind: 'unavailable', detail: 'cut'}) : call();
  }
}

/** A fleet whose VMs share one store. */
class Fleet {
  readonly store = new FakeStore(() => performance.now());
  readonly peers = new FakeFleet(fleetOf(VMS));
  readonly cut = new Set<string>();
  readonly views = new Map<string, FleetView>();
  storeCalls = 0;
  private readonly tasks: FleetTask[] = [];

  constructor() {
    this.store.maxHoldMs = Infinity;
    for (const [i, vm] of [...this.peers.dataCentreByVm.keys()].entries()) {
      this.startVm(vm, i);
    }
  }

  /** The VMs that watch the store. */
  get watchers(): readonly string[] {
    const {dataCentreByVm} = this.peers;
    return ['macon', 'perry'].flatMap(dataCentre => [
      ...selectWatchers(dataCentreByVm, dataCentre),
    ]);
  }

  /** Counts the VMs whose copy is proven to be recent. */
  proven(): number {
    const now = performance.now();
    return [...this.views.values()].filter(view => isProven(view, now)).length;
  }

  /** Counts the VMs by the primary that they know of. */
  primaries(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const {rows} of this.views.values()) {
      const record = rows.leadership.get('wash')?.record;
      const name = record?.phase === 'settled' ? record.primary : 'none';
      counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
  }

  stop(): void {
    for (const task of this.tasks) {
      void ask<void>(reply => task.tell({kind: 'leave', reply}));
    }
  }

  private startVm(vm: string, seed: number): void {
    const peers = new FakeFleetPeers(this.peers, vm, seed);
    const task = new FleetTask({
      vm,
      entry: {
        peers: '127.0.0.1:1',
        dataCentre: this.peers.dataCentreByVm.get(vm) ?? '',
        incarnation: vm,
      },
      store: new StoreConnection(
        this.store,
        () => this.cut.has(vm),
        () => this.storeCalls++,
      ),
      peers,
      watcher: this.peers.watcherOf(vm, peers),
      clock: () => performance.now(),
      onView: view => this.views.set(vm, view),
      onStoreFailure: () => undefined,
      log: silentLogger(),
      onFailed: err => {
        throw err;
      },
    });
    this.views.set(vm, EMPTY_FLEET_VIEW);
    this.tasks.push(task);
    this.peers.handlers.set(vm, {
      relay: request =>
        ask<RelayedRows | undefined>(reply =>
          task.tell({kind: 'relay', request, reply}),
        ),
    });
    task.tell({kind: 'start'});
  }
}

let fleet: Fleet;
beforeEach(async () => {
  vi.useFakeTimers();
  fleet = new Fleet();
  fleet.store.put('leadership/wash', {phase: 'settled', primary: 'a'});
  await vi.advanceTimersByTimeAsync(5_000);
});
afterEach(async () => {
  fleet.stop();
  await vi.advanceTimersByTimeAsync(100);
  vi.useRealTimers();
});

/** Lets time pass; returns the smallest number of proven VMs meanwhile. */
async function advance(ms: number): Promise<number> {
  let least = Infinity;
  for (let passed = 0; passed < ms; passed += 100) {
    await vi.advanceTimersByTimeAsync(100);
    least = Math.min(least, fleet.proven());
  }
  return least;
}

describe('FleetTask that follows a watcher', () => {
  // Guards against store calls that grow with the fleet.
  it('keeps the whole fleet proven by the calls of its watchers', async () => {
    fleet.storeCalls = 0;
    const proven = await advance(30_000);
    // Each watcher's request is held for 3 s.
    const perWatch = fleet.storeCalls / fleet.watchers.length / 10;
    expect({proven, watchers: fleet.watchers.length}).toMatchSnapshot();
    expect(perWatch).toBeLessThanOrEqual(1.1);
  });

  // Guards against a record that only the watchers know of.
  it('passes changes on at once', async () => {
    fleet.store.put('leadership/wash', {phase: 'settled', primary: 'b'});
    await vi.advanceTimersByTimeAsync(20);
    const changed = fleet.primaries();
    await fleet.store.transact({
      expected: new Map(),
      puts: new Map(),
      removals: ['leadership/wash'],
    });
    await vi.advanceTimersByTimeAsync(20);
    expect({changed, removed: fleet.primaries()}).toMatchSnapshot();
  });

  // Guards against primary leases that lapse behind a watcher that is frozen,
  // cut off from its peers or cut off from the store.
  it.each(['silent', 'cut from the store', 'silent and cut'] as const)(
    'stays proven while the watchers are %s',
    async fault => {
      for (const vm of fleet.watchers) {
        if (fault !== 'cut from the store') fleet.peers.silent.add(vm);
        if (fault !== 'silent') fleet.cut.add(vm);
      }
      await advance(20_000);
      const now = performance.now();
      const others = [...fleet.views].filter(
        ([vm]) => !fleet.watchers.includes(vm),
      );
      const unproven = others.filter(([, view]) => !isProven(view, now));
      expect(unproven.map(([vm]) => vm)).toEqual([]);
    },
  );

  // Guards against requests without a pause to a watcher whose copy is from an
  // older state of the store, although its proof is newer.
  it('pauses if the answers of its watcher are older than its copy', async () => {
    for (const vm of fleet.watchers) {
      fleet.peers.handlers.set(vm, {
        relay: async () => ({
          rows: [],
          removed: [],
          version: 1,
          after: 0,
          asOfStoreMs: performance.now() + 2_000_000,
          earliestStoreMs: performance.now() + 1_000_000,
          latestStoreMs: performance.now() + 1_000_000,
        }),
      });
    }
    fleet.peers.calls = 0;
    await advance(3_000);
    const followers = VMS - fleet.watchers.length;
    expect(fleet.peers.calls / followers).toBeLessThanOrEqual(3_000 / 150);
  });

  // Guards against a store that is called by the whole fleet while it is down.
  it('calls an unavailable store rarely, and notices its return', async () => {
    fleet.store.mode = 'down';
    for (const vm of fleet.peers.dataCentreByVm.keys()) fleet.cut.add(vm);
    await advance(10_000);
    fleet.storeCalls = 0;
    await advance(10_000);
    // A call in 2.5 s for each follower, and one a second for each watcher.
    const followers = VMS - fleet.watchers.length;
    const expected = followers * 4 + fleet.watchers.length * 10;
    const calls = fleet.storeCalls;
    expect(calls).toBeLessThanOrEqual(expected * 1.2);
    fleet.store.mode = 'answers';
    fleet.cut.clear();
    await advance(1_500);
    expect(fleet.proven()).toBe(VMS);
  });
});
