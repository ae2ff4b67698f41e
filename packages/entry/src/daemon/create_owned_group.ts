import {
  AtPrimaryAcknowledgementPolicy,
  PrimaryOnlyPolicy,
  Random,
  ReplicaFirstPolicy,
  RouteAcknowledgementPolicy,
} from '@pistachiorill/core';
import type {
  ResultBudget,
  BackendServer,
  FailoverReport,
  Refusal,
  Result,
  RoutedStatement,
} from '@pistachiorill/core';
import type {ProcessSettings} from '@pistachiorill/document';
import type {TableService} from '@pistachiorill/store';
import type {Clock} from '@pistachiorill/tasks';
import type {AuditEntry, Logger} from '@pistachiorill/telemetry';
import {FailoverTask} from '../failover/failover_task.js';
import {GroupTask} from '../group/group_task.js';
import {LocalExecutor} from '../group/local_executor.js';
import type {OwnedGroup} from '../routing/group_directory.js';

/** The collaborators of the tasks of an owned group. */
export interface OwnedGroupDependencies {
  /** Limits the results of members, for all groups together. */
  readonly results: ResultBudget;
  readonly settings: ProcessSettings;
  readonly table: TableService;
  readonly clock: Clock;
  readonly log: Logger;
  /** Authenticates a statement again, if needed, before it is sent. */
  readonly reauthenticate: (
    statement: RoutedStatement,
  ) => Result<unknown, Refusal>;
  /** Returns how many connections this VM may open to a backend server. */
  readonly connectionAllowanceOf: (server: BackendServer) => number;
  /** Sends a failover report to the other VMs that own the group. */
  readonly sendReport: (report: FailoverReport) => void;
  /** Adds a change to the audit trail. */
  readonly record: (
    change: Pick<AuditEntry, 'action' | 'subject' | 'before' | 'after'>,
  ) => void;
}

/** Creates the tasks of a group that this VM owns, that is, connects to. */
export function createOwnedGroup(
  database: string,
  deps: OwnedGroupDependencies,
): OwnedGroup {
  const {policy} = deps.settings;
  const task = createGroupTask(database, deps);
  const executor = new LocalExecutor(
    task,
    deps.clock,
    deps.reauthenticate,
    policy.acknowledge === 'at-primary'
      ? new AtPrimaryAcknowledgementPolicy()
      : new RouteAcknowledgementPolicy(),
  );
  return {task, executor, failover: createFailoverTask(database, task, deps)};
}

function createGroupTask(
  database: string,
  {
    settings,
    clock,
    log,
    connectionAllowanceOf: allowanceOf,
    results,
  }: OwnedGroupDependencies,
): GroupTask {
  const {backend, policy} = settings;
  const localAddress = backend.local_address;
  return new GroupTask(database, {
    credentials: {
      data: {
        user: backend.user,
        password: backend.password,
        localAddress,
        results,
      },
      control: {
        user: backend.control_user,
        password: backend.control_password,
        localAddress,
      },
    },
    policy:
      policy.reads === 'primary-only'
        ? new PrimaryOnlyPolicy()
        : new ReplicaFirstPolicy(),
    queue: policy.queue,
    random: new Random(Date.now() | 0),
    clock,
    allowanceOf,
    onFault: err =>
      log.error({event: 'group.failed', database, err}, 'group task failed'),
  });
}

function createFailoverTask(
  database: string,
  group: GroupTask,
  {settings, table, clock, log, sendReport, record}: OwnedGroupDependencies,
): FailoverTask {
  const {name: vm, data_centre: dataCentre} = settings.vm;
  const switchoverGraceMs = settings.limits.transaction_idle_ms;
  return new FailoverTask(
    {database, vm, dataCentre, switchoverGraceMs},
    {
      group,
      table,
      clock,
      random: new Random(Date.now() | 0),
      sendReport,
      onEnded: ({term, phase, abandoned, formerPrimary, candidate}) =>
        record({
          action: 'failover-step',
          subject: `database/${database}`,
          before: formerPrimary,
          after: `${candidate ?? ''}, term ${term}: ${abandoned ?? phase}`,
        }),
      log,
    },
  );
}
