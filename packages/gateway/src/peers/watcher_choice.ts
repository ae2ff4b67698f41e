import {selectWatchers} from '@pistachiorill/core';
import type {Logger} from '@pistachiorill/telemetry';
import type {GatewaySettings} from '../daemon/gateway_settings.js';
import {dataCentresOf} from '../fleet/fleet_rows.js';
import type {FleetRows} from '../fleet/fleet_rows.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {PeerSet} from './peer_set.js';

/** What a VM receives from a watcher. */
export type WatchedState =
  'shared-rows' | 'configuration' | 'members' | 'positions';

/** What the choice of a watcher depends on. */
export interface WatcherChoiceDependencies {
  readonly vm: string;
  readonly dataCentre: string;
  /** The registered VMs and their data centres. */
  readonly dataCentreByVm: () => ReadonlyMap<string, string>;
  readonly peers: PeerSet;
  /** What this VM receives from the watcher. */
  readonly purpose: WatchedState;
  readonly log: Logger;
}

/** Creates the choice of a VM from its view of the fleet. */
export function newWatcherChoice(
  {name, data_centre}: GatewaySettings['vm'],
  view: () => FleetView,
  deps: Pick<WatcherChoiceDependencies, 'peers' | 'purpose' | 'log'>,
): WatcherChoice {
  let rows: FleetRows | undefined;
  let dataCentreByVm: ReadonlyMap<string, string> = new Map();
  return new WatcherChoice({
    vm: name,
    dataCentre: data_centre,
    dataCentreByVm: () => {
      const current = view().rows;
      if (current !== rows) dataCentreByVm = dataCentresOf(current);
      rows = current;
      return dataCentreByVm;
    },
    ...deps,
  });
}

/** Chooses the watcher that this VM follows: a VM that watches the store. */
export class WatcherChoice {
  private current: string | undefined;
  private silent: string | undefined;
  private logged: string | undefined;
  private selectedFrom: ReadonlyMap<string, string> | undefined;
  private selected: readonly string[] = [];

  constructor(private readonly deps: WatcherChoiceDependencies) {}

  /**
   * Returns the watcher to follow; none if this VM watches the store itself. A
   * VM that is not registered does, as only its own registration shows that its
   * copy is not from an older state of the store.
   */
  next(): string | undefined {
    const {vm, peers} = this.deps;
    const watchers = this.watchers();
    if (watchers.length === 0 || watchers.includes(vm)) return undefined;
    const others = watchers.filter(name => name !== this.silent);
    const candidates = others.length > 0 ? others : watchers;
    [this.current] = peers.sample(1, this.current, candidates);
    if (this.current !== this.logged) {
      const {purpose, log} = this.deps;
      const watcher = this.current;
      log.info(
        {event: 'watcher.chosen', purpose, watcher, silent: this.silent},
        'follows another watcher',
      );
      this.logged = watcher;
    }
    return this.current;
  }

  /** Whether some VMs watch the store for the others of the data centre. */
  isFleetWatched(): boolean {
    return this.watchers().length > 0;
  }

  /** The watchers, which are selected again only when the fleet changes. */
  private watchers(): readonly string[] {
    const {vm, dataCentre, dataCentreByVm} = this.deps;
    const vms = dataCentreByVm();
    if (vms !== this.selectedFrom) {
      this.selectedFrom = vms;
      this.selected = vms.has(vm) ? selectWatchers(vms, dataCentre) : [];
    }
    return this.selected;
  }

  /** Records that a watcher did not answer, so that another one is tried. */
  failed(watcher: string): void {
    this.silent = watcher;
    this.current = undefined;
  }
}
