import {Random, fail, ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import type {PeerError} from '@pistachiorill/peers';
import {sleep} from '@pistachiorill/tasks';
import type {RelayRequest, RelayedRows} from '../fleet/relayed_rows.js';
import type {RelayedConfiguration} from '../peers/gateway_handlers.js';
import type {ConfigurationRequest} from '../peers/gateway_router.js';
import {PeerSet} from '../peers/peer_set.js';
import {WatcherChoice} from '../peers/watcher_choice.js';
import {silentLogger} from './fake_group.js';

/** What one VM of a fake fleet answers its peers. */
export interface FakePeerHandlers {
  readonly relay?: (req: RelayRequest) => Promise<RelayedRows | undefined>;
  readonly configuration?: (
    req: ConfigurationRequest,
  ) => Promise<RelayedConfiguration | undefined>;
}

/** The VMs of one process, which call each other without a network. */
export class FakeFleet {
  readonly handlers = new Map<string, FakePeerHandlers>();
  /** VMs whose answers do not arrive. */
  readonly silent = new Set<string>();
  /** The number of calls between VMs. */
  calls = 0;

  constructor(readonly dataCentreByVm: ReadonlyMap<string, string>) {}

  /** Creates the choice of a watcher of a VM. */
  watcherOf(vm: string, peers: PeerSet): WatcherChoice {
    return new WatcherChoice({
      vm,
      dataCentre: this.dataCentreByVm.get(vm) ?? '',
      dataCentreByVm: () => this.dataCentreByVm,
      peers,
      purpose: 'shared-rows',
      log: silentLogger(),
    });
  }
}

/** The peers of one VM of a fake fleet. */
export class FakeFleetPeers extends PeerSet {
  constructor(
    private readonly fleet: FakeFleet,
    private readonly vm: string,
    seed: number,
  ) {
    super(new Random(seed));
    const others = [...fleet.dataCentreByVm.keys()].filter(name => name !== vm);
    this.update(others.map(name => ({vm: name, address: '127.0.0.1:1'})));
  }

  override relay(vm: string, req: RelayRequest, timeoutMs: number) {
    return this.send(vm, timeoutMs, peer => peer.relay?.(req));
  }

  override configuration(
    vm: string,
    req: ConfigurationRequest,
    timeoutMs: number,
  ) {
    return this.send(vm, timeoutMs, peer => peer.configuration?.(req));
  }

  private async send<T>(
    vm: string,
    timeoutMs: number,
    call: (peer: FakePeerHandlers) => Promise<T | undefined> | undefined,
  ): Promise<Result<T | null, PeerError>> {
    const {handlers, silent} = this.fleet;
    this.fleet.calls++;
    const overdue = sleep(timeoutMs).then(() => 'overdue' as const);
    const peer = handlers.get(vm);
    if (!peer || silent.has(vm) || silent.has(this.vm)) {
      await overdue;
      return fail({kind: 'no-answer', detail: 'silent'});
    }
    const answer = await Promise.race([call(peer), overdue]);
    if (answer === 'overdue' || silent.has(vm)) {
      return fail({kind: 'no-answer', detail: 'silent'});
    }
    return ok(answer ?? null);
  }
}

/** Names the VMs of a fleet and spreads them over two data centres. */
export function fleetOf(size: number): Map<string, string> {
  return new Map(
    Array.from({length: size}, (unused, i) => [
      `vm-${String(i).padStart(3, '0')}`,
      i % 2 === 0 ? 'macon' : 'perry',
    ]),
  );
}

/** The choice of a watcher in a small fleet: every VM watches the store. */
export function noWatchers(peers: PeerSet): WatcherChoice {
  return new FakeFleet(new Map()).watcherOf('vm-a', peers);
}
