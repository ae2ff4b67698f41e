import {fail, ok, selectWatchers} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import type {StoreReadError} from '@pistachiorill/store';
import {ask, sleep} from '@pistachiorill/tasks';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {RelayedConfiguration} from '../../peers/gateway_handlers.js';
import {ConfigurationSource} from '../../ports/configuration_source.js';
import type {OperatorState} from '../../ports/configuration_source.js';
import {
  FakeFleet,
  FakeFleetPeers,
  fleetOf,
} from '../../testing/fake_fleet_peers.js';
import {silentLogger} from '../../testing/fake_group.js';
import {ConfigurationTask} from '../configuration_task.js';

const VMS = 30;
/** How long a client of the store waits for an answer that is overdue. */
const READ_TIMEOUT_MS = 1_200;

/** The operators' state in a store that all VMs share. */
class SharedState {
  revision = 1;
  length = 10;
  calls = 0;
  private readonly watching = new Set<() => void>();

  write(): void {
    this.revision++;
    for (const wake of [...this.watching]) wake();
  }

  state(): OperatorState {
    return {
      configuration: undefined,
      dataCentresOut: new Set(),
      encoded: String(this.revision).padStart(this.length, '0'),
      revision: this.revision,
    };
  }

  async changed(waitMs: number): Promise<void> {
    let wake: () => void = () => undefined;
    const change = new Promise<void>(resolve => (wake = resolve));
    this.watching.add(wake);
    await Promise.race([change, sleep(waitMs)]);
    this.watching.delete(wake);
  }
}

/** One VM's connections to the store, of which the open ones can go silent. */
class Source extends ConfigurationSource {
  connection: 'good' | 'silent' | 'cut' = 'good';

  constructor(private readonly shared: SharedState) {
    super();
  }

  override read(): Promise<Result<OperatorState, StoreReadError>> {
    return this.call(READ_TIMEOUT_MS);
  }

  override async next(
    waitMs: number,
  ): Promise<Result<OperatorState, StoreReadError>> {
    if (this.connection === 'good') await this.shared.changed(waitMs);
    return this.call(this.connection === 'good' ? 0 : waitMs + 900);
  }

  override decode(encoded: string): OperatorState {
    return {...this.shared.state(), revision: Number(encoded), encoded};
  }

  private async call(
    timeoutMs: number,
  ): Promise<Result<OperatorState, StoreReadError>> {
    this.shared.calls++;
    if (this.connection === 'good') return ok(this.shared.state());
    await sleep(timeoutMs);
    // A timeout closes the silent connection; the next one is new.
    if (this.connection === 'silent') this.connection = 'good';
    return fail({kind: 'unavailable', detail: 'no answer'});
  }
}

function startFleet(applyWithinMs: number) {
  const shared = new SharedState();
  const fleet = new FakeFleet(fleetOf(VMS));
  const sources = new Map<string, Source>();
  const applied = new Map<string, number>();
  const tasks = [...fleet.dataCentreByVm.keys()].map((vm, seed) => {
    const peers = new FakeFleetPeers(fleet, vm, seed);
    const source = new Source(shared);
    sources.set(vm, source);
    const task = new ConfigurationTask({
      source,
      peers,
      watcher: fleet.watcherOf(vm, peers),
      registeredAt: () => 1,
      clock: () => performance.now(),
      applyWithinMs,
      onConfirmed: () => undefined,
      onApplied: ({revision}) => applied.set(vm, revision),
      onStoreFailure: () => undefined,
      log: silentLogger(),
      onFailed: err => {
        throw err;
      },
    });
    fleet.handlers.set(vm, {
      configuration: request =>
        ask<RelayedConfiguration | undefined>(reply =>
          task.tell({kind: 'relay', request, reply}),
        ),
    });
    task.tell({kind: 'start'});
    return task;
  });
  const watchers = ['macon', 'perry'].flatMap(dataCentre =>
    selectWatchers(fleet.dataCentreByVm, dataCentre),
  );
  const late = (among = [...applied.keys()]): string[] =>
    among.filter(vm => applied.get(vm) !== shared.revision);
  const stop = (): void => {
    for (const task of tasks) task.tell({kind: 'stop'});
  };
  return {shared, fleet, sources, applied, watchers, late, stop};
}

let running: ReturnType<typeof startFleet> | undefined;
beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(async () => {
  running?.stop();
  await vi.advanceTimersByTimeAsync(10_000);
  vi.useRealTimers();
});

async function start(applyWithinMs: number) {
  const started = startFleet(applyWithinMs);
  running = started;
  await vi.advanceTimersByTimeAsync(4_000);
  return started;
}

describe('ConfigurationTask that follows a watcher', () => {
  // Guards against store calls that grow with the fleet, and against a change
  // that arrives only when a held request ends.
  it('receives changes at once by the calls of its watchers', async () => {
    const {shared, watchers, late} = await start(6_000);
    shared.calls = 0;
    await vi.advanceTimersByTimeAsync(20_000);
    const perWatcher = shared.calls / watchers.length;
    shared.write();
    await vi.advanceTimersByTimeAsync(30);
    expect({perWatcher, late: late()}).toMatchSnapshot();
  });

  // Guards against watchers whose links are full, because they send a large
  // state to all VMs of their data centre.
  it('reads a large state from the store', async () => {
    const {shared, late} = await start(6_000);
    shared.length = 300_000;
    shared.calls = 0;
    shared.write();
    await vi.advanceTimersByTimeAsync(30);
    expect(late()).toEqual([]);
    expect(shared.calls).toBeGreaterThanOrEqual(VMS);
  });

  // Guards against a change that is applied late behind a watcher that is
  // frozen or cut off, or because connections went silent together.
  it.each([3_000, 5_000, 6_000])(
    'applies a change within %d ms in spite of faults',
    async applyWithinMs => {
      const results: Record<string, readonly string[]> = {};
      for (const fault of ['frozen', 'cut', 'silent', 'frozen-and-silent']) {
        const {shared, fleet, sources, watchers, late, stop} =
          await start(applyWithinMs);
        const followers = [...sources.keys()].filter(
          vm => !watchers.includes(vm),
        );
        for (const vm of watchers) {
          if (fault.startsWith('frozen')) fleet.silent.add(vm);
          const source = sources.get(vm);
          if (source && fault === 'cut') source.connection = 'cut';
        }
        if (fault.endsWith('silent')) {
          for (const source of sources.values()) source.connection = 'silent';
        }
        shared.write();
        await vi.advanceTimersByTimeAsync(applyWithinMs);
        results[fault] = late(followers);
        stop();
      }
      expect(results).toMatchSnapshot();
    },
  );
});
