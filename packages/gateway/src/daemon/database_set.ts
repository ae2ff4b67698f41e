import type {PrimaryRight, VersionedLeadership} from '@pistachiorill/core';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import {DatabaseTask} from '../database/database_task.js';
import {rightOf} from '../fleet/fleet_view.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {OperatorState} from '../ports/configuration_source.js';
import type {ListedMember} from '../ports/member_directory.js';
import type {MemberLinks} from '../ports/member_link.js';
import type {GatewaySettings} from './gateway_settings.js';

/** Suspicions are repeated while they last, several times in this time. */
const SUSPICION_FRESH_MS = 500;
/** How long primaries are out of reach before the VM says so. */
const CUT_OFF_AFTER_MS = 600;

export interface DatabaseSetTools {
  readonly settings: GatewaySettings;
  readonly links: MemberLinks;
  readonly view: () => FleetView;
  readonly onSuspect: (group: string, primary: string, since: number) => void;
  readonly clock: Clock;
  readonly log: Logger;
}

interface Suspicion {
  readonly since: number;
  readonly at: number;
}

/** The tasks of the groups that the configuration names. */
export class DatabaseSet {
  private readonly tasks = new Map<string, DatabaseTask>();
  /** Primaries that cannot be reached, by group. */
  private readonly suspicions = new Map<string, Suspicion>();
  private operators: OperatorState | undefined;
  private members: readonly ListedMember[] = [];
  private vmCount = 1;

  constructor(private readonly tools: DatabaseSetTools) {}

  get groups(): readonly string[] {
    return [...this.tasks.keys()];
  }

  get(group: string): DatabaseTask | undefined {
    return this.tasks.get(group);
  }

  membersOf(group: string): readonly ListedMember[] {
    return this.members.filter(item => item.group === group);
  }

  /** Takes over the operators' state: opens and closes groups. */
  showOperators(state: OperatorState): void {
    this.operators = state;
    const groups = state.configuration?.groups ?? new Map();
    for (const group of groups.keys()) {
      if (!this.tasks.has(group)) this.open(group);
    }
    for (const [group, task] of this.tasks) {
      if (groups.has(group)) continue;
      task.tell({kind: 'close'});
      this.tasks.delete(group);
    }
    this.showViews();
  }

  showMembers(members: readonly ListedMember[]): void {
    this.members = members;
    this.showViews();
  }

  showFleet(view: FleetView): void {
    for (const [group, task] of this.tasks) {
      const leadership = view.rows.leadership.get(group);
      task.tell({kind: 'leadership', leadership});
    }
    const vmCount = Math.max(1, view.rows.vms.size);
    if (vmCount === this.vmCount) return;
    this.vmCount = vmCount;
    this.showViews();
  }

  /**
   * Whether most primaries are out of reach. Callers then do better with the
   * VMs of another data centre.
   */
  isCutOff(now: number): boolean {
    const unreached = [...this.suspicions].filter(
      ([group, {since, at}]) =>
        this.tasks.has(group) &&
        now - at < SUSPICION_FRESH_MS &&
        now - since > CUT_OFF_AFTER_MS,
    );
    return unreached.length * 2 > this.tasks.size;
  }

  close(): void {
    for (const task of this.tasks.values()) task.tell({kind: 'close'});
  }

  private open(group: string): void {
    const {settings, links, clock, log, view, onSuspect} = this.tools;
    const {vm, regions} = settings;
    const task = new DatabaseTask(group, {
      vm: {dataCentre: vm.data_centre, region: vm.region},
      regionOf: dataCentre => regions[dataCentre] ?? '',
      links,
      clock,
      right: leadership => this.rightOf(group, leadership),
      onSuspect: (name, primary, since) => {
        this.suspicions.set(name, {since, at: clock()});
        onSuspect(name, primary, since);
      },
      log,
      onFailed: err =>
        log.error({event: 'database.failed', group, err}, 'task failed'),
    });
    this.tasks.set(group, task);
    const leadership = view().rows.leadership.get(group);
    task.tell({kind: 'leadership', leadership});
  }

  /**
   * The proof and the records belong together, so a record that the group's
   * task has not received yet counts already.
   */
  private rightOf(
    group: string,
    known: VersionedLeadership | undefined,
  ): PrimaryRight {
    const view = this.tools.view();
    const newest = view.rows.leadership.get(group);
    const leadership =
      newest && newest.version > (known?.version ?? 0) ? newest : known;
    return rightOf(view, leadership, this.tools.clock());
  }

  private showViews(): void {
    const {operators} = this;
    for (const [group, task] of this.tasks) {
      const settings = operators?.configuration?.groups.get(group);
      if (!operators || !settings) continue;
      task.tell({
        kind: 'view',
        view: {
          settings,
          members: this.membersOf(group),
          dataCentresOut: operators.dataCentresOut,
          vmCount: this.vmCount,
        },
      });
    }
  }
}
