import {composeVersion, ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import type {StoreReadError} from '@pistachiorill/store';
import {ask, sleep} from '@pistachiorill/tasks';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import type {RelayedConfiguration} from '../../peers/gateway_handlers.js';
import {ConfigurationSource} from '../../ports/configuration_source.js';
import type {OperatorState} from '../../ports/configuration_source.js';
import {FakeFleet, FakeFleetPeers} from '../../testing/fake_fleet_peers.js';
import {silentLogger} from '../../testing/fake_group.js';
import {ConfigurationTask} from '../configuration_task.js';

/** The operators' rows in a store that can go back to a copy. */
class Rows {
  private era = 0;
  private counter = 80;
  private version = 30;
  private out: readonly string[] = [];
  private readonly waiting = new Set<() => void>();

  write(version: number, ...out: readonly string[]): void {
    this.counter++;
    Object.assign(this, {version, out});
    this.wake();
  }

  /** Goes back to the first rows. */
  restore(): void {
    Object.assign(this, {counter: 80, version: 30, out: []});
    this.era++;
    this.wake();
  }

  state(): OperatorState {
    const {version, out} = this;
    const revision = composeVersion(this.era, this.counter);
    return decode(JSON.stringify({revision, version, out}));
  }

  async changed(waitMs: number): Promise<void> {
    const change = new Promise<void>(resolve => this.waiting.add(resolve));
    await Promise.race([change, sleep(waitMs)]);
  }

  private wake(): void {
    for (const resolve of this.waiting) resolve();
    this.waiting.clear();
  }
}

function decode(encoded: string): OperatorState {
  const {revision, version, out} = JSON.parse(encoded);
  const configuration = {version, routes: new Map()};
  return {
    configuration: configuration as unknown as OperatorState['configuration'],
    dataCentresOut: new Set(out),
    encoded,
    revision,
  };
}

class Source extends ConfigurationSource {
  constructor(private readonly rows: Rows) {
    super();
  }

  override async read(): Promise<Result<OperatorState, StoreReadError>> {
    return ok(this.rows.state());
  }

  override async next(
    waitMs: number,
  ): Promise<Result<OperatorState, StoreReadError>> {
    await this.rows.changed(waitMs);
    return this.read();
  }

  override decode(encoded: string): OperatorState {
    return decode(encoded);
  }
}

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

/** Starts VMs on demand and records what they apply. */
function startFleet() {
  const rows = new Rows();
  const fleet = new FakeFleet(
    new Map([
      ['vm-a', 'macon'],
      ['vm-b', 'perry'],
    ]),
  );
  const startedAt = performance.now();
  const applied: string[] = [];
  const start = (vm: string): void => {
    const peers = new FakeFleetPeers(fleet, vm, 1);
    const task = new ConfigurationTask({
      source: new Source(rows),
      peers,
      watcher: fleet.watcherOf(vm, peers),
      registeredAt: () => 1,
      clock: () => performance.now(),
      applyWithinMs: 3_000,
      onConfirmed: () => undefined,
      onApplied: ({configuration, dataCentresOut}) => {
        const atMs = Math.round(performance.now() - startedAt);
        const out = [...dataCentresOut].join() || 'none';
        applied.push(`${atMs} ${vm} ${configuration?.version} out ${out}`);
      },
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
  };
  return {rows, start, applied};
}

describe('ConfigurationTask after the store went back to a copy', () => {
  // Guards against a withdrawn key that is accepted again, and against new work
  // for a data centre out of service, until the operators have written again.
  it('keeps the newer configuration and the evacuations', async () => {
    const {rows, start, applied} = startFleet();
    start('vm-a');
    await vi.advanceTimersByTimeAsync(100);
    rows.write(33, 'macon');
    await vi.advanceTimersByTimeAsync(100);
    rows.restore();
    await vi.advanceTimersByTimeAsync(100);
    rows.write(30, 'perry');
    await vi.advanceTimersByTimeAsync(100);
    rows.write(33, 'perry');
    await vi.advanceTimersByTimeAsync(100);
    rows.write(36, 'perry');
    await vi.advanceTimersByTimeAsync(10_000);
    rows.write(39);
    await vi.advanceTimersByTimeAsync(100);
    expect(applied).toMatchSnapshot();
  });

  // Guards against a process that has just started and serves by the older
  // configuration of the copy.
  it('asks peers for the state before the copy at its start', async () => {
    const {rows, start, applied} = startFleet();
    start('vm-a');
    rows.write(33, 'macon');
    await vi.advanceTimersByTimeAsync(100);
    rows.restore();
    await vi.advanceTimersByTimeAsync(100);
    start('vm-b');
    await vi.advanceTimersByTimeAsync(100);
    rows.write(36);
    await vi.advanceTimersByTimeAsync(10_000);
    expect(applied).toMatchSnapshot();
  });
});
