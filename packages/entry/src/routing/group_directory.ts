import {connectionAllowance, acceptsNewStatements} from '@pistachiorill/core';
import type {
  BackendServer,
  Configuration,
  Database,
  FailoverReport,
  RoutingMode,
} from '@pistachiorill/core';
import type {FailoverTask} from '../failover/failover_task.js';
import {ForwardingExecutor} from '../forward/forwarding_executor.js';
import type {ForwardingDependencies} from '../forward/forwarding_dependencies.js';
import type {OwnerTarget} from '../forward/owner_client.js';
import type {GroupExecutor} from '../group/group_executor.js';
import type {GroupTask} from '../group/group_task.js';
import type {MembershipView} from '../membership/membership_view.js';
import {planRouting} from './plan_routing.js';
import type {GroupRoutingPlan} from './plan_routing.js';

/** How long the statements of a retired group may take to finish. */
const RETIREMENT_GRACE_MS = 30_000;

/** The tasks and the executor of a group that this VM owns. */
export interface OwnedGroup {
  readonly task: GroupTask;
  readonly executor: GroupExecutor;
  readonly failover: FailoverTask;
}

/** The collaborators and settings of a `GroupDirectory`. */
export interface GroupDirectoryDependencies {
  readonly mode: RoutingMode;
  readonly forward: ForwardingDependencies;
  /** Starts the tasks of a group that this VM now owns. */
  readonly create: (database: string) => OwnedGroup;
}

/**
 * Maps each database to its group. Decides whether this VM owns connections to
 * the group or forwards statements to the owners, and follows changes of the
 * configuration and the membership.
 */
export class GroupDirectory {
  private readonly plans = new Map<string, GroupRoutingPlan>();
  private readonly owned = new Map<string, OwnedGroup>();
  private readonly forwarding = new Map<string, ForwardingExecutor>();
  private configuration: Configuration | undefined;
  private view: MembershipView | undefined;

  constructor(private readonly deps: GroupDirectoryDependencies) {}

  /** Applies a new configuration, which may change members and limits. */
  configure(configuration: Configuration): void {
    this.configuration = configuration;
    const configured = new Set(configuration.databases.map(item => item.name));
    for (const name of [...this.plans.keys()]) {
      if (!configured.has(name)) this.remove(name);
    }
    this.update('configured');
  }

  /** Applies a new membership view, which may change the owners. */
  applyMembership(view: MembershipView): void {
    this.view = view;
    this.update('view-changed');
  }

  /** Whether any group can be reached, directly or through an owner. */
  get state(): 'pending' | 'reachable' {
    const isReachable = [...this.plans.values()].some(
      plan => plan.role === 'owner' || plan.targets.length > 0,
    );
    return isReachable ? 'reachable' : 'pending';
  }

  /** The executor for callers' statements, if the database is served. */
  executorFor(database: string): GroupExecutor | undefined {
    return this.local(database) ?? this.forwarding.get(database);
  }

  /** The executor over this VM's connections, if it owns the group. */
  local(database: string): GroupExecutor | undefined {
    return this.owned.get(database)?.executor;
  }

  /** The number of data connections that this VM may now open to a member. */
  connectionAllowanceFor(database: string, server: BackendServer): number {
    const plan = this.plans.get(database);
    if (plan?.role !== 'owner') return 0;
    return connectionAllowance(server.connectionLimit, plan.ownerCount);
  }

  /** Passes a failover report of another VM to its group, if owned here. */
  passOnReport(report: FailoverReport): void {
    const group = this.owned.get(report.database);
    group?.failover.tell({kind: 'reported', report});
  }

  /** The other VMs that own a group. */
  otherOwners(database: string): readonly OwnerTarget[] {
    return this.plans.get(database)?.targets ?? [];
  }

  /** The tasks of the groups that this VM owns. */
  get ownedTasks(): readonly GroupTask[] {
    return [...this.owned.values()].map(group => group.task);
  }

  /** Closes the groups that this VM owns. */
  close(): void {
    for (const group of this.owned.values()) {
      group.failover.tell({kind: 'close'});
      group.task.tell({kind: 'close'});
    }
  }

  /** Plans the routing of every group again and applies the plans. */
  private update(cause: 'configured' | 'view-changed'): void {
    const {configuration, view} = this;
    if (!configuration || !view) return;
    for (const database of configuration.databases) {
      const servers = serversOf(database, configuration);
      const before = this.plans.get(database.name);
      const plan = planRouting(
        {
          database: database.name,
          connectionLimit: lowestConnectionLimit(servers),
        },
        this.deps.mode,
        view,
        before,
      );
      this.plans.set(database.name, plan);
      this.applyPlan(
        database.name,
        servers,
        cause === 'configured' ||
          plan.role !== before?.role ||
          plan.ownerCount !== before.ownerCount
          ? 'changed'
          : 'same',
      );
    }
  }

  private applyPlan(
    database: string,
    servers: readonly BackendServer[],
    connections: 'changed' | 'same',
  ): void {
    if (!this.forwarding.has(database)) {
      this.forwarding.set(
        database,
        new ForwardingExecutor(
          database,
          () => this.plans.get(database)?.targets ?? [],
          this.deps.forward,
        ),
      );
    }
    if (connections === 'same') return;
    if (this.plans.get(database)?.role === 'owner') {
      const group = this.owned.get(database) ?? this.deps.create(database);
      this.owned.set(database, group);
      group.task.tell({kind: 'configure', servers});
      group.failover.tell({
        kind: 'configure',
        servers,
        dataCentresInService: this.dataCentresInService(),
      });
    } else {
      this.retireGroup(database, servers);
    }
  }

  /**
   * Closes the connections of a group that this VM no longer owns, each when
   * its statement or transaction ends.
   */
  private retireGroup(
    database: string,
    servers: readonly BackendServer[],
  ): void {
    const group = this.owned.get(database);
    if (!group) return;
    this.owned.delete(database);
    group.failover.tell({kind: 'close'});
    group.task.tell({kind: 'configure', servers});
    setTimeout(
      () => group.task.tell({kind: 'close'}),
      RETIREMENT_GRACE_MS,
    ).unref();
  }

  private dataCentresInService(): number {
    const all = this.configuration?.dataCentres ?? [];
    return all.filter(item => item.state === 'in-service').length;
  }

  private remove(database: string): void {
    this.retireGroup(database, []);
    this.plans.delete(database);
    this.forwarding.delete(database);
  }
}

function serversOf(
  database: Database,
  configuration: Configuration,
): BackendServer[] {
  return database.members.flatMap(name => serverOf(configuration, name) ?? []);
}

/** Finds a server. It is leaving if its data centre is out of service. */
function serverOf(
  configuration: Configuration,
  name: string,
): BackendServer | undefined {
  const server = configuration.backendServers.find(item => item.name === name);
  return server && !acceptsNewStatements(server, configuration)
    ? {...server, state: 'leaving'}
    : server;
}

function lowestConnectionLimit(servers: readonly BackendServer[]): number {
  return Math.min(...servers.map(server => server.connectionLimit));
}
