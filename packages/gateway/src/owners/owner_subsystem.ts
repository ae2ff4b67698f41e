import type {Random, RuntimeConfiguration} from '@pistachiorill/core';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import {LoopMonitor} from '../clock/loop_monitor.js';
import type {DatabaseTask} from '../database/database_task.js';
import type {FleetRows} from '../fleet/fleet_rows.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {ListedMember} from '../ports/member_directory.js';
import {PlaceFilter} from '../session/place_filter.js';
import {RunFilter} from '../session/run_filter.js';
import type {GatewayMetrics} from '../telemetry/gateway_metrics.js';
import {ForwardFilter} from './forward_filter.js';
import {OwnerCalls} from './owner_calls.js';
import type {OwnerClient} from './owner_client.js';
import {OwnerDirectory} from './owner_directory.js';
import {OwnerTask} from './owner_task.js';

/** The services of the VM that the subsystem uses. */
export interface OwnerSubsystemDependencies {
  readonly vm: {
    readonly name: string;
    readonly dataCentre: string;
    readonly incarnation: string;
  };
  readonly regionOf: (dataCentre: string) => string;
  readonly view: () => FleetView;
  readonly members: (group: string) => readonly ListedMember[];
  readonly isOutOfService: (member: ListedMember) => boolean;
  /** Whether this VM may serve callers. */
  readonly isReady: () => boolean;
  readonly database: (group: string) => DatabaseTask | undefined;
  readonly configuration: () => RuntimeConfiguration | undefined;
  readonly client: OwnerClient;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: GatewayMetrics;
  /** Spreads retries and the delays of refusals. */
  readonly random?: Random;
  readonly onFailed: (err: unknown) => void;
}

/** Both sides of one VM: it forwards statements and runs those of others. */
export class OwnerSubsystem {
  readonly directory: OwnerDirectory;
  /** Runs an admitted statement of a caller of this VM. */
  readonly filter: ForwardFilter;
  /** Runs statements for other VMs. */
  readonly task: OwnerTask;

  constructor(deps: OwnerSubsystemDependencies) {
    const {vm, view, database, configuration, clock} = deps;
    const local = new RunFilter({
      place: new PlaceFilter(deps),
      database,
      clock,
    });
    this.directory = new OwnerDirectory({
      ...deps,
      rows: () => view().rows,
      connectionLimit: group =>
        configuration()?.groups.get(group)?.connectionLimit,
    });
    const calls = new OwnerCalls(deps);
    this.filter = new ForwardFilter({
      ...deps,
      vm: vm.name,
      incarnation: vm.incarnation,
      local,
      targets: statement =>
        this.directory.targets(statement, owner => calls.availabilityOf(owner)),
      calls,
    });
    const loop = new LoopMonitor(clock, gapMs => {
      deps.log.warn(
        {event: 'loop.resumed', gapMs: Math.round(gapMs)},
        'this process did not run; statements that other VMs sent are refused',
      );
    });
    this.task = new OwnerTask({
      ...deps,
      local,
      isReady: group => database(group) !== undefined && deps.isReady(),
      mayReadOldCalls: now => loop.mayReadOldCalls(now),
    });
  }

  /** Rolls back the transactions of processes that are not registered. */
  updateRegistrations({vms}: FleetRows): void {
    const incarnations = new Map(
      [...vms].map(([vm, {value}]) => [vm, value.incarnation]),
    );
    this.task.tell({kind: 'registrations', incarnations});
  }
}
