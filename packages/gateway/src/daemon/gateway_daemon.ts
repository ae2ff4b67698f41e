import {randomUUID} from 'node:crypto';
import {Random} from '@pistachiorill/core';
import type {PeerServer} from '@pistachiorill/peers';
import type {RuntimeConfiguration} from '@pistachiorill/core';
import {Pipeline, ask} from '@pistachiorill/tasks';
import {BUILD_ID} from '@pistachiorill/telemetry';
import type {Logger} from '@pistachiorill/telemetry';
import type {DatabaseTask} from '../database/database_task.js';
import {LimitReporter} from '../callers/limit_reporter.js';
import {DatabaseSet} from './database_set.js';
import {FleetTask} from '../fleet/fleet_task.js';
import {EMPTY_FLEET_VIEW, isProven} from '../fleet/fleet_view.js';
import type {FleetView} from '../fleet/fleet_view.js';
import {PositionTask} from '../fleet/position_task.js';
import {registeredAt} from '../fleet/registration.js';
import {ShareAllocator} from '../fleet/share_allocator.js';
import type {LeaseRowDependencies} from '../leadership/lease_row.js';
import {LeadershipTask} from '../leadership/leadership_task.js';
import {ConfigurationTask} from '../operators/configuration_task.js';
import {DirectoryTask} from '../operators/directory_task.js';
import type {DirectoryView} from '../operators/member_list.js';
import {OwnerSubsystem} from '../owners/owner_subsystem.js';
import {PeerSet} from '../peers/peer_set.js';
import {newWatcherChoice} from '../peers/watcher_choice.js';
import type {WatchedState, WatcherChoice} from '../peers/watcher_choice.js';
import type {CallerLink, CallerServer} from '../ports/caller_link.js';
import type {OperatorState} from '../ports/configuration_source.js';
import type {ListedMember} from '../ports/member_directory.js';
import type {Readiness} from '../ports/readiness_endpoint.js';
import type {QuotaTask} from '../quota/quota_task.js';
import {AdmitFilter} from '../session/admit_filter.js';
import {RouteFilter} from '../session/route_filter.js';
import {SessionTask} from '../session/session_task.js';
import type {SessionDependencies} from '../session/session_message.js';
import {GatewayMetrics} from '../telemetry/gateway_metrics.js';
import type {UsageSubsystem} from '../usage/usage_subsystem.js';
import type {GatewayPorts, OpenPorts} from './gateway_ports.js';
import {usableProcessors} from './gateway_settings.js';
import type {GatewaySettings} from './gateway_settings.js';
import {stopGracefully} from './graceful_stop.js';
import {serveMetrics} from './http_endpoints.js';
import {newPeerServer} from './new_peer_server.js';
import {newQuotaTask} from './new_quota_task.js';
import {newSuspensionClock} from './new_suspension_clock.js';
import {newUsageSubsystem} from './new_usage_subsystem.js';
import type {ProbeServer} from './probe_server.js';

const BYTES_PER_KB = 1_024;

/** Creates and connects the tasks of one VM, and starts and stops them. */
export class GatewayDaemon {
  private readonly clock: () => number;
  private readonly metrics = new GatewayMetrics();
  private readonly limits: LimitReporter;
  private readonly random = new Random(Date.now() | 0);
  private readonly peers = new PeerSet(this.random);
  private readonly databases: DatabaseSet;
  private readonly sessions = new Set<SessionTask>();
  private readonly ports: GatewayPorts;
  private readonly fleet: FleetTask;
  private readonly quota: QuotaTask;
  private readonly leadership: LeadershipTask;
  private readonly shareAllocator: ShareAllocator;
  private readonly configuration: ConfigurationTask;
  private readonly directory: DirectoryTask;
  private readonly positions: PositionTask;
  /** Undefined if the deployment has no usage reports. */
  private readonly usage: UsageSubsystem | undefined;
  private readonly owners: OwnerSubsystem;
  private readonly peerServer: PeerServer;
  private readonly sessionDependencies: SessionDependencies;
  private metricsServer: ProbeServer | undefined;
  private view: FleetView | undefined;
  private operators: OperatorState | undefined;
  private directoryView: DirectoryView | undefined;
  private lifecycle: 'serving' | 'stopping' = 'serving';

  constructor(
    private readonly settings: GatewaySettings,
    openPorts: OpenPorts,
    private readonly log: Logger,
  ) {
    this.clock = newSuspensionClock(log, skippedMs => {
      this.usage?.clockSkipped(skippedMs);
      this.fleet.tell({kind: 'clock-skipped', skippedMs});
    });
    const {clock, peers} = this;
    this.limits = new LimitReporter({clock, log, metrics: this.metrics});
    this.ports = openPorts({clock, log, limits: this.limits});
    const onFailed = (err: unknown): void => {
      log.error(
        {event: 'task.failed', err},
        'unexpected error in a task of this VM',
      );
    };
    const onStoreFailure = (call: string): void => {
      this.metrics.storeFailed(call);
    };
    const {name: vm, data_centre: dataCentre} = settings.vm;
    const incarnation = randomUUID();
    const entry = {
      peers: settings.listen.peers,
      dataCentre,
      incarnation,
      processors: usableProcessors(settings.vm),
    };
    const view = (): FleetView => this.currentView();
    const newWatcher = (purpose: WatchedState): WatcherChoice =>
      newWatcherChoice(settings.vm, view, {peers, purpose, log});
    this.fleet = new FleetTask({
      vm,
      entry,
      store: this.ports.store,
      peers,
      watcher: newWatcher('shared-rows'),
      clock,
      onView: view => this.applyView(view),
      onStoreFailure,
      log,
      onFailed,
    });
    const watcher = newWatcher('positions');
    this.positions = new PositionTask({
      groups: () => this.databases.groups,
      database: group => this.databases.get(group),
      peers,
      watcher,
      clock,
      onFailed,
    });
    this.quota = newQuotaTask({vm, view, clock, peers, log, onFailed});
    const transact: LeaseRowDependencies['transact'] = transaction =>
      ask(reply => this.fleet.tell({kind: 'transact', transaction, reply}));
    this.usage = newUsageSubsystem(settings.usage, {
      vm,
      incarnation,
      view,
      transact,
      peers,
      reporter: this.ports.usageReporter,
      clock,
      metrics: this.metrics,
      log,
      onFailed,
    });
    const configuration = (): RuntimeConfiguration | undefined =>
      this.operators?.configuration;
    const database = (group: string): DatabaseTask | undefined =>
      this.databases.get(group);
    this.owners = new OwnerSubsystem({
      vm: {name: vm, dataCentre, incarnation},
      regionOf: name => settings.regions[name] ?? '',
      view,
      members: group => this.databases.membersOf(group),
      isOutOfService: member => this.isOutOfService(member),
      isReady: () => this.readiness() === 'ready',
      database,
      configuration,
      client: peers,
      clock,
      log,
      metrics: this.metrics,
      random: this.random,
      onFailed,
    });
    this.databases = new DatabaseSet({
      settings,
      owners: this.owners.directory,
      links: this.ports.links,
      view,
      requestPositions: group => {
        if (!watcher.isFleetWatched()) return 'not-sampled';
        this.positions.tell({kind: 'needed', group});
        return 'requested';
      },
      onSuspect: (group, primary, since) => {
        this.directory.tell({kind: 'list-soon'});
        this.leadership.tell({kind: 'suspected', group, primary, since});
      },
      onStatement: this.usage?.count,
      clock,
      log,
      metrics: this.metrics,
      random: this.random,
    });
    this.leadership = new LeadershipTask({
      vm,
      view,
      groups: () => this.databases.groups,
      database: group => this.databases.get(group),
      members: group => this.databases.membersOf(group),
      isEligible: member =>
        member.state === 'ready' && !this.isOutOfService(member),
      isOutOfService: member => this.isOutOfService(member),
      isNear: member => member.dataCentre === dataCentre,
      synchronousReplicas: group =>
        this.operators?.configuration?.groups.get(group)?.synchronousReplicas ??
        0,
      directory: () => this.directoryView,
      requestList: () => this.directory.tell({kind: 'list-soon'}),
      transact,
      peers,
      orders: this.ports.orders,
      clock,
      log,
      onChangeEnded: outcome => this.metrics.primaryChanged(outcome),
      onFailed,
    });
    this.shareAllocator = new ShareAllocator({
      vm,
      view,
      transact,
      peers,
      clock,
      log,
      onFailed,
    });
    this.configuration = new ConfigurationTask({
      source: this.ports.source,
      registeredAt: () => registeredAt({vm, entry}, view().rows),
      peers,
      watcher: newWatcher('configuration'),
      clock,
      applyWithinMs: settings.limits.configuration_apply_ms,
      onConfirmed: () => this.metrics.configurationConfirmed(),
      onApplied: state => this.applyOperatorState(state),
      onStoreFailure,
      log,
      onFailed,
    });
    this.directory = new DirectoryTask({
      watcher: newWatcher('members'),
      directory: this.ports.directory,
      peers,
      clock,
      onListed: view => {
        this.directoryView = view;
      },
      onMembers: members => this.databases.updateMembers(members),
      onStoreFailure,
      log,
      onFailed,
    });
    this.peerServer = newPeerServer(
      {
        databases: this.databases,
        fleet: this.fleet,
        leadership: this.leadership,
        quota: this.quota,
        configuration: this.configuration,
        directory: this.directory,
        positions: this.positions,
        usage: this.usage?.usage,
        owner: this.owners.task,
      },
      onFailed,
    );
    this.sessionDependencies = {
      admit: Pipeline.of(new RouteFilter(), clock).then(
        new AdmitFilter(this.quota),
      ),
      run: Pipeline.of(this.owners.filter, clock),
      configuration,
      refundToken: workspace => this.quota.tell({kind: 'refund', workspace}),
      clock,
      log,
      metrics: this.metrics,
      maxStateBytes: settings.limits.caller_state_kb * BYTES_PER_KB,
    };
  }

  /** Opens the listeners, then starts the tasks. */
  async start(): Promise<void> {
    const {listen} = this.settings;
    this.ports.readiness.listen(listen.readiness, () => this.readiness());
    await this.peerServer.listen(listen.peers);
    await this.ports.callers.listen(listen.callers, link => this.accept(link));
    const {registry} = this.metrics;
    this.metricsServer = serveMetrics(listen.metrics, registry, this.limits);
    this.fleet.tell({kind: 'start'});
    this.configuration.tell({kind: 'start'});
    this.directory.tell({kind: 'list'});
    this.leadership.tell({kind: 'review'});
    this.shareAllocator.tell({kind: 'keep'});
    this.usage?.start();
    const started = {event: 'gateway.started', build: BUILD_ID, listen};
    this.log.info(started, 'gateway started');
  }

  /** Stops gracefully: running work may finish within the grace period. */
  async stop(): Promise<void> {
    if (this.lifecycle === 'stopping') return;
    this.lifecycle = 'stopping';
    this.usage?.stopReporting();
    await stopGracefully({
      graceMs: this.settings.limits.grace_ms,
      sessions: this.sessions,
      callers: this.ports.callers,
      owner: this.owners.task,
      closeDatabases: () => {
        this.databases.close();
        this.owners.filter.close();
        this.peers.closeStatements();
      },
      leaveFleet: async () => {
        const left = ask<void>(reply =>
          this.fleet.tell({kind: 'leave', reply}),
        );
        await Promise.all([left, this.usage?.handOver()]);
      },
      clock: this.clock,
      log: this.log,
    });
    this.close();
  }

  /** Logs that the settings file was read again, and with which outcome. */
  reloaded(outcome: 'applied' | 'unchanged' | 'invalid'): void {
    this.log.info({event: 'gateway.reloaded', outcome}, 'settings read again');
  }

  private close(): void {
    this.leadership.tell({kind: 'stop'});
    this.shareAllocator.tell({kind: 'stop'});
    this.configuration.tell({kind: 'stop'});
    this.directory.tell({kind: 'stop'});
    this.positions.tell({kind: 'stop'});
    this.usage?.close();
    this.peerServer.close();
    this.peers.close();
    this.ports.readiness.close();
    this.metricsServer?.close();
  }

  private accept(link: CallerLink) {
    const session: SessionTask = new SessionTask(
      link,
      this.sessionDependencies,
      () => {
        this.sessions.delete(session);
      },
    );
    this.sessions.add(session);
    return (
      event: Parameters<ReturnType<Parameters<CallerServer['listen']>[1]>>[0],
    ) => session.tell({kind: 'event', event, receivedAt: this.clock()});
  }

  private readiness(): Readiness {
    const isReady =
      this.lifecycle === 'serving' &&
      this.operators?.configuration !== undefined &&
      this.directoryView !== undefined &&
      this.view !== undefined &&
      isProven(this.view, this.clock()) &&
      !this.databases.isIsolated(this.clock());
    return isReady ? 'ready' : 'not-ready';
  }

  private isOutOfService({dataCentre}: ListedMember): boolean {
    return this.operators?.dataCentresOut.has(dataCentre) === true;
  }

  private currentView(): FleetView {
    return this.view ?? EMPTY_FLEET_VIEW;
  }

  private applyView(view: FleetView): void {
    const before = this.view;
    this.view = view;
    if (before?.rows === view.rows) return;
    const self = this.settings.vm.name;
    this.peers.update(
      [...view.rows.vms]
        .filter(([vm]) => vm !== self)
        .map(([vm, {value}]) => ({vm, address: value.peers})),
    );
    this.databases.updateFleet(view);
    this.owners.updateRegistrations(view.rows);
  }

  private applyOperatorState(state: OperatorState): void {
    const before = this.operators?.configuration;
    this.operators = state;
    const {configuration} = state;
    if (!configuration) return;
    this.metrics.configurationApplied(configuration.version);
    this.databases.updateOperatorState(state);
    this.quota.tell({
      kind: 'limits',
      limits: new Map(
        [...configuration.workspaces].map(([name, item]) => [name, item.limit]),
      ),
    });
    if (before?.version === configuration.version) return;
    for (const session of this.sessions) session.tell({kind: 'reconfigured'});
  }
}
