import {supersedesLeadership} from '@pistachiorill/core';
import type {
  PrimaryLeaseDecision,
  Random,
  VersionedLeadership,
} from '@pistachiorill/core';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import {DatabaseTask} from '../database/database_task.js';
import type {StatementCounter} from '../database/database_tools.js';
import type {OwnerDirectory} from '../owners/owner_directory.js';
import {primaryLeaseOf} from '../fleet/fleet_view.js';
import type {FleetView} from '../fleet/fleet_view.js';
import type {OperatorState} from '../ports/configuration_source.js';
import type {ListedMember} from '../ports/member_directory.js';
import type {MemberLinkFactory} from '../ports/member_link.js';
import type {GatewayMetrics} from '../telemetry/gateway_metrics.js';
import type {GatewaySettings} from './gateway_settings.js';

/**
 * A suspicion that was not raised again for this long has ended. While a primary
 * is unreachable, the group's task raises it more often.
 */
const SUSPICION_VALIDITY_MS = 500;
/** How long primaries must be unreachable before the VM counts as isolated. */
const ISOLATED_AFTER_MS = 600;

/** Collaborators for opening the groups' tasks. */
export interface DatabaseSetDependencies {
  readonly settings: GatewaySettings;
  readonly links: MemberLinkFactory;
  readonly view: () => FleetView;
  readonly owners: OwnerDirectory;
  readonly requestPositions: (group: string) => 'requested' | 'not-sampled';
  readonly onSuspect: (group: string, primary: string, since: number) => void;
  /** Counts the statements of workspaces; undefined if nobody needs it. */
  readonly onStatement: StatementCounter | undefined;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: GatewayMetrics;
  readonly random: Random;
}

/** A primary that this VM cannot reach. */
interface Suspicion {
  /** Since when the primary has been unreachable. */
  readonly since: number;
  /** When the suspicion was last raised. */
  readonly at: number;
}

/** One database task for each group that the configuration names. */
export class DatabaseSet {
  private readonly tasks = new Map<string, DatabaseTask>();
  /** Suspicions of primaries that cannot be reached, by group. */
  private readonly suspicions = new Map<string, Suspicion>();
  /** Announced primary changes of groups that are not open, by group. */
  private readonly announcements = new Map<string, VersionedLeadership>();
  private operators: OperatorState | undefined;
  private members: readonly ListedMember[] = [];
  private vmCount = 1;
  private ownerCandidates: OwnerDirectory['candidates'] = new Map();
  private phase: 'open' | 'closed' = 'open';

  constructor(private readonly deps: DatabaseSetDependencies) {}

  get groups(): readonly string[] {
    return [...this.tasks.keys()];
  }

  get(group: string): DatabaseTask | undefined {
    return this.tasks.get(group);
  }

  membersOf(group: string): readonly ListedMember[] {
    return this.members.filter(item => item.group === group);
  }

  /** Opens the groups that the configuration adds; closes removed ones. */
  updateOperatorState(state: OperatorState): void {
    if (this.phase === 'closed') return;
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
    this.sendViews();
  }

  /**
   * Keeps the announcement of a primary change for a group that is not open yet.
   * A VM that has just started may open it before it has read the announcement,
   * and must not use the former primary then.
   */
  keepAnnouncement(group: string, leadership: VersionedLeadership): void {
    const known = this.announcements.get(group);
    if (known && !supersedesLeadership(leadership, known)) return;
    this.announcements.set(group, leadership);
  }

  /** Sends the new list of members to the groups' tasks. */
  updateMembers(members: readonly ListedMember[]): void {
    this.members = members;
    this.sendViews();
  }

  /** Sends the recorded primaries, and the VMs if they changed. */
  updateFleet(view: FleetView): void {
    for (const [group, task] of this.tasks) {
      const leadership = view.rows.leadership.get(group);
      task.tell({kind: 'leadership', leadership});
    }
    const vmCount = Math.max(1, view.rows.vms.size);
    const {candidates} = this.deps.owners;
    if (vmCount === this.vmCount && candidates === this.ownerCandidates) return;
    this.vmCount = vmCount;
    this.ownerCandidates = candidates;
    this.sendViews();
  }

  /**
   * Whether most primaries are unreachable from this VM. VMs of another data
   * centre then serve callers better.
   */
  isIsolated(now: number): boolean {
    const unreached = [...this.suspicions].filter(
      ([group, {since, at}]) =>
        this.tasks.has(group) &&
        now - at < SUSPICION_VALIDITY_MS &&
        now - since > ISOLATED_AFTER_MS,
    );
    return unreached.length * 2 > this.tasks.size;
  }

  /** Closes all groups and opens no further one. */
  close(): void {
    this.phase = 'closed';
    for (const task of this.tasks.values()) task.tell({kind: 'close'});
  }

  private open(group: string): void {
    const {settings, links, clock, log, metrics, view, onSuspect} = this.deps;
    const {requestPositions, random, onStatement} = this.deps;
    const {vm, regions} = settings;
    const task = new DatabaseTask(group, {
      vm: {dataCentre: vm.data_centre, region: vm.region},
      regionOf: dataCentre => regions[dataCentre] ?? '',
      links,
      clock,
      primaryLease: leadership => this.primaryLeaseFor(group, leadership),
      requestPositions,
      onPrimaryUnreachable: (name, primary, since) => {
        this.suspicions.set(name, {since, at: clock()});
        onSuspect(name, primary, since);
      },
      onStatement,
      log,
      metrics,
      random,
      onFailed: err =>
        log.error(
          {event: 'database.failed', group, err},
          'unexpected error in the task of the group',
        ),
    });
    this.tasks.set(group, task);
    const leadership = view().rows.leadership.get(group);
    task.tell({kind: 'leadership', leadership});
    const announced = this.announcements.get(group);
    if (announced) task.tell({kind: 'leadership', leadership: announced});
    this.announcements.delete(group);
  }

  /**
   * Returns the primary lease for a group. A record in the current view that the
   * group's task has not received yet takes precedence over the known one, as
   * the proof of the view covers the records in it.
   */
  private primaryLeaseFor(
    group: string,
    known: VersionedLeadership | undefined,
  ): PrimaryLeaseDecision {
    const view = this.deps.view();
    const newest = view.rows.leadership.get(group);
    const leadership =
      newest && !(known && supersedesLeadership(known, newest))
        ? newest
        : known;
    return primaryLeaseOf(view, leadership, this.deps.clock());
  }

  private sendViews(): void {
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
          owners: this.deps.owners.shareOf(group),
        },
      });
    }
  }
}
