import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {AuthenticateFilter, Random, ledgerKey, ok} from '@pistachiorill/core';
import type {
  DrainReason,
  GroupView,
  Lifecycle,
  Refusal,
  Result,
  RoutedStatement,
  StatementContext,
  VersionedConfiguration,
} from '@pistachiorill/core';
import type {ProcessSettings} from '@pistachiorill/document';
import {MysqlServer} from '@pistachiorill/mysql';
import type {RawServerConnection} from '@pistachiorill/mysql';
import {
  HttpObjectStore,
  HttpTableService,
  HttpVmList,
} from '@pistachiorill/store';
import type {TableService, VmStatus} from '@pistachiorill/store';
import {ask} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import {
  AuditTask,
  BUILD_ID,
  Metrics,
  createLogger,
} from '@pistachiorill/telemetry';
import type {AuditEntry, Logger} from '@pistachiorill/telemetry';
import type {ClientRegistry} from '../caller/client_registry.js';
import {ConnectionTask} from '../caller/connection_task.js';
import type {ConnectionDependencies} from '../caller/connection_dependencies.js';
import {createStatementPipelines} from '../caller/create_statement_pipelines.js';
import type {ExecutorLookup} from '../caller/execute_filter.js';
import {ConfigurationTask} from '../configuration/configuration_task.js';
import type {AppliedDocument} from '../configuration/configuration_task.js';
import {FleetConfigurationPeers} from '../configuration/fleet_configuration_peers.js';
import {groupStatus} from '../http/group_status.js';
import {StatusServer} from '../http/status_server.js';
import {LifecycleTask} from '../lifecycle/lifecycle_task.js';
import {NO_PAYLOADS} from '../membership/gossip_payloads.js';
import type {MembershipView} from '../membership/membership_view.js';
import {QuotaSubsystem} from '../quota/quota_subsystem.js';
import {GroupDirectory} from '../routing/group_directory.js';
import {flushAudit} from './flush_audit.js';
import {createOwnedGroup} from './create_owned_group.js';
import {createClientAdmission} from './create_client_admission.js';
import {PeerSubsystem} from './peer_subsystem.js';

/** Spreads the audit writes of the fleet over time; see `AuditOptions`. */
const MAX_AUDIT_DELAY_MS = 5_000;

/**
 * The daemon of one entry VM. Creates the tasks, connects them with each other,
 * and starts and stops them in order.
 */
export class EntryDaemon {
  private readonly clock: Clock = () => performance.now();
  private readonly log: Logger;
  private readonly metrics = new Metrics();
  private readonly authenticate = new AuthenticateFilter();
  private readonly configuration: ConfigurationTask;
  private readonly configurationPeers: FleetConfigurationPeers;
  private readonly lifecycle: LifecycleTask;
  private readonly audit: AuditTask;
  private readonly server: MysqlServer;
  private readonly status: StatusServer;
  private readonly connections = new Set<ConnectionTask>();
  private readonly clients: ClientRegistry;
  private readonly table: TableService;
  private readonly peers: PeerSubsystem;
  private readonly quota: QuotaSubsystem;
  private readonly groups: GroupDirectory;
  private current: VersionedConfiguration | undefined;
  /** The applied document, served to peers without the store. */
  private document: AppliedDocument | undefined;
  private drainReasons: readonly DrainReason[] = [];
  /** The highest configuration version that any VM has reported. */
  private reportedConfigurationVersion = 0;

  constructor(private readonly settings: ProcessSettings) {
    this.log = createLogger(settings.vm.name, settings.log.level);
    const {clock, metrics, log} = this;
    const admission = createClientAdmission({settings, clock, log, metrics});
    this.clients = admission.clients;
    const endpoint = {
      baseUrl: settings.platform.url,
      timeoutMs: settings.platform.timeout_ms,
    };
    this.table = new HttpTableService(endpoint);
    const objects = new HttpObjectStore(endpoint);
    const {vm} = settings;
    const random = new Random(Date.now() | 0);
    this.audit = new AuditTask(objects, {
      writer: `${vm.name}-${randomUUID()}`,
      wallClock: () => new Date(),
      sendDelayMs: () => random.integer(0, MAX_AUDIT_DELAY_MS),
      onBuffered: entries => this.metrics.auditBuffered.set(entries),
      onFault: err => this.log.error({event: 'audit.failed', err}, 'audit'),
    });
    this.configurationPeers = new FleetConfigurationPeers(random);
    this.configuration = new ConfigurationTask({
      environment: vm.environment,
      table: this.table,
      objects,
      peers: this.configurationPeers,
      onApplied: (current, body) => this.apply(current, body),
      onRead: read => {
        this.metrics.configurationReadTime.setToCurrentTime();
        this.peers.recordVersionRead(read);
      },
      clock,
      log,
    });
    this.lifecycle = new LifecycleTask({
      vm: vm.name,
      dataCentre: vm.data_centre,
      onChanged: (reasons, before) => this.applyDrainReasons(reasons, before),
      onFault: err =>
        this.log.error({event: 'lifecycle.failed', err}, 'lifecycle'),
    });
    this.peers = new PeerSubsystem({
      settings,
      limits: admission.peerLimits,
      list: new HttpVmList(endpoint),
      clock,
      log,
      payloads: NO_PAYLOADS,
      services: {
        configuration: async ({hash}) =>
          this.document && (hash ?? this.document.hash) === this.document.hash
            ? {kind: 'found', ...this.document}
            : {kind: 'missing'},
        announce: ({environment, ...document}) => {
          if (environment !== vm.environment) return;
          this.configuration.tell({kind: 'announced', document});
        },
        ledger: req => this.quota.ledgerRow(req),
        loan: req => this.quota.handleLoanRequest(req),
        report: report => this.groups.passOnReport(report),
      },
      onView: view => this.applyMembership(view),
      onListed: vms => this.lifecycle.tell({kind: 'listed', vms}),
      local: database => this.groups.local(database),
      context: () => this.context(),
    });
    this.quota = new QuotaSubsystem({
      self: this.peers.self,
      ledgerKey: ledgerKey(settings.vm.environment),
      table: this.table,
      updateAuthority: event => this.peers.updateAuthority(event),
      activity: () => this.activity,
      record: (change, operationId) => this.record(change, operationId),
      clock,
      log,
    });
    this.groups = new GroupDirectory({
      mode: settings.routing.mode,
      forward: this.peers.forward,
      create: database =>
        createOwnedGroup(database, {
          settings,
          results: admission.results,
          table: this.table,
          clock,
          log,
          reauthenticate: statement => this.recheck(statement),
          connectionAllowanceOf: server =>
            this.groups.connectionAllowanceFor(database, server),
          sendReport: report =>
            this.peers.sendReport(report, this.groups.otherOwners(database)),
          record: change => this.record(change),
        }),
    });
    const connectionDeps = this.connectionDeps();
    this.server = new MysqlServer(
      (raw, id) => this.accept(raw, id, connectionDeps),
      admission.maxSockets,
    );
    this.status = new StatusServer(
      this.metrics,
      () =>
        this.groups.state === 'reachable' &&
        this.quota.state === 'able' &&
        this.drainReasons.length === 0
          ? 'ready'
          : 'not-ready',
      () => this.report(),
      admission.statusLimits,
    );
  }

  /** Opens the listeners, joins the fleet and starts polling the store. */
  async start(): Promise<void> {
    await this.status.listen(this.settings.listen.http);
    await this.server.listen(this.settings.listen.clients);
    await this.peers.start();
    this.quota.start();
    this.configuration.tell({kind: 'poll'});
    this.log.info({event: 'entry.started', build: BUILD_ID}, 'entry started');
  }

  /**
   * Stops gracefully: accepts no new work, gives running work the grace time to
   * finish, returns the share and flushes the audit trail.
   */
  async stop(): Promise<void> {
    this.lifecycle.tell({kind: 'stop-requested'});
    await this.lifecycle.stop();
    this.server.close();
    await this.peers.leave();
    await this.waitUntilIdle(this.clock() + this.settings.limits.grace_ms);
    await this.quota.returnShare();
    await this.quota.stop();
    await this.configuration.stop();
    await this.peers.stop();
    this.groups.close();
    this.configurationPeers.close();
    await flushAudit(this.audit);
    this.status.close();
    this.log.info({event: 'entry.stopped'}, 'entry stopped');
  }

  private accept(
    raw: RawServerConnection,
    id: number,
    deps: ConnectionDependencies,
  ): void {
    if (this.clients.admit(raw) === 'refused') return;
    const task: ConnectionTask = new ConnectionTask(raw, id, deps, () => {
      this.connections.delete(task);
      this.clients.remove(id);
    });
    this.connections.add(task);
    this.clients.add(id, task.connection);
  }

  private get activity(): 'idle' | 'busy' {
    return this.connections.size > 0 ? 'busy' : this.peers.activity;
  }

  private async waitUntilIdle(until: number): Promise<void> {
    while (this.activity === 'busy' && this.clock() < until) {
      await new Promise(resolve => setTimeout(resolve, 20));
    }
  }

  private connectionDeps(): ConnectionDependencies {
    const {clock} = this;
    const executors: ExecutorLookup = name => this.groups.executorFor(name);
    return {
      ...createStatementPipelines({
        statementBytes: this.settings.limits.statement_bytes,
        authenticate: this.authenticate,
        quota: this.quota.filter,
        executors,
        clock,
      }),
      findExecutor: executors,
      context: () => this.context(),
      guard: this.clients,
      transactionIdleMs: this.settings.limits.transaction_idle_ms,
      clock,
      log: this.log,
      metrics: this.metrics,
    };
  }

  private context(): StatementContext | undefined {
    if (!this.current) return undefined;
    return {
      activeConfiguration: this.current,
      confirmation: this.peers.confirmation,
      lifecycle: this.currentLifecycle(),
    };
  }

  private currentLifecycle(): Lifecycle {
    return this.drainReasons.length === 0 ? 'serving' : 'draining';
  }

  private apply(current: VersionedConfiguration, body: string): void {
    const before = this.current?.version ?? 0;
    const {version, hash, configuration} = current;
    this.current = current;
    this.document = {version, hash, body};
    this.metrics.configurationVersion.set(version);
    this.groups.configure(configuration);
    this.quota.configure(configuration);
    this.peers.updateAuthority({
      kind: 'applied',
      versions: {configuration: version},
    });
    this.record({
      action: 'configuration-applied',
      subject: `configuration/${this.settings.vm.environment}`,
      before: `version ${before}`,
      after: `version ${version}`,
    });
    this.lifecycle.tell({kind: 'configured', configuration});
    this.notifyContextChanged();
  }

  private applyDrainReasons(
    reasons: readonly DrainReason[],
    before: readonly DrainReason[],
  ): void {
    this.drainReasons = reasons;
    const isDraining = reasons.length > 0;
    this.metrics.draining.set(isDraining ? 1 : 0);
    this.log.info(
      {event: isDraining ? 'entry.draining' : 'entry.serving', reasons},
      isDraining ? 'VM drains and accepts no new work' : 'VM accepts new work',
    );
    this.record({
      action: isDraining ? 'drain-started' : 'drain-ended',
      subject: `vm/${this.settings.vm.name}`,
      before: before.join(', ') || 'serving',
      after: reasons.join(', ') || 'serving',
    });
    this.quota.applyLifecycle(isDraining ? 'draining' : 'serving');
    // Only a VM that the platform lists as leaving leaves the fleet. A VM in a
    // data centre that is out of service may return, so it stays in the fleet.
    const isListed = reasons.includes('listed-leaving');
    if (isListed && !before.includes('listed-leaving')) void this.peers.leave();
    if (!isListed && before.includes('listed-leaving')) this.peers.rejoin();
    this.notifyContextChanged();
  }

  private notifyContextChanged(): void {
    for (const task of this.connections) task.tell({kind: 'context-changed'});
  }

  private record(
    change: Pick<AuditEntry, 'action' | 'subject' | 'before' | 'after'>,
    operationId: string = randomUUID(),
  ): void {
    const actor = this.settings.vm.name;
    const entry = {actor, operationId, ...change};
    this.audit.tell({kind: 'record', entry});
  }

  /** Builds the answer to `/status`. */
  private async report(): Promise<VmStatus> {
    const {vm} = this.settings;
    const views = await Promise.all(
      this.groups.ownedTasks.map(group =>
        ask<GroupView>(reply => group.tell({kind: 'view', reply})),
      ),
    );
    return {
      vm: vm.name,
      dataCentre: vm.data_centre,
      environment: vm.environment,
      version: this.current?.version ?? 0,
      hash: this.current?.hash ?? '',
      lifecycle: this.currentLifecycle(),
      drainReasons: [...this.drainReasons],
      confirmation: this.peers.confirmation,
      connections: this.connections.size,
      groups: views.map(groupStatus),
    };
  }

  private applyMembership(view: MembershipView): void {
    this.groups.applyMembership(view);
    this.configurationPeers.applyMembership(view);
    if (view.known.configuration > this.reportedConfigurationVersion) {
      this.reportedConfigurationVersion = view.known.configuration;
      const {reportedConfigurationVersion: version} = this;
      this.configuration.tell({kind: 'version-reported', version});
    }
    this.quota.applyMembership(view);
  }

  /**
   * Authenticates a statement again if the configuration or the confirmation
   * has changed since the statement arrived.
   */
  private recheck(statement: RoutedStatement): Result<unknown, Refusal> {
    const context = this.context();
    const {activeConfiguration: current, confirmation} = statement.context;
    const isUnchanged =
      !context ||
      (context.activeConfiguration.version === current.version &&
        context.confirmation === confirmation);
    if (isUnchanged) return ok(statement);
    return this.authenticate.run({...statement, context});
  }
}
