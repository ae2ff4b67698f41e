import {randomBytes} from 'node:crypto';
import {decideFailover, initialFailoverState} from '@pistachiorill/core';
import type {
  Attempt,
  AttemptAction,
  AttemptEvent,
  BackendServer,
  CallOutcome,
  ClaimRow,
  FailoverAction,
  FailoverMessage,
  FailoverReport,
  FailoverState,
  Random,
} from '@pistachiorill/core';
import {MYSQL_ERRNO} from '@pistachiorill/mysql';
import type {TableService} from '@pistachiorill/store';
import {Task, ask} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {GroupObservation} from '../group/group_message.js';
import type {GroupTask} from '../group/group_task.js';
import type {
  MemberControlCall,
  MemberControlResult,
} from '../group/member_control_task.js';

/** Interval at which the group is observed. */
const IDLE_TICK_MS = 250;
/** Interval during an attempt and while this VM's report is not `clear`. */
const ACTIVE_TICK_MS = 50;

/** Messages to the failover task of a group. */
export type FailoverTaskMessage =
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'configure';
      readonly servers: readonly BackendServer[];
      readonly dataCentresInService: number;
    }
  | Exclude<FailoverMessage, {kind: 'configured'}>
  | {readonly kind: 'close'};

/** The VM and the database of the group that a failover task acts for. */
export type FailoverIdentity = Pick<
  FailoverState,
  'database' | 'vm' | 'dataCentre' | 'switchoverGraceMs'
>;

/** The collaborators of a failover task. */
export interface FailoverDependencies {
  readonly group: GroupTask;
  /** The store's table, which holds the row of the attempts. */
  readonly table: TableService;
  readonly clock: Clock;
  readonly random: Random;
  /** Sends this VM's report to the other VMs that poll the group. */
  readonly sendReport: (report: FailoverReport) => void;
  /** Called when an attempt of this VM ends. */
  readonly onEnded: (attempt: Attempt) => void;
  readonly log: Logger;
}

/** Returns the key of the row that serializes the attempts for a database. */
export function failoverKey(database: string): string {
  return `failover/${database}`;
}

/**
 * Observes one group, passes observations and reports to the failover decisions
 * and performs the resulting actions. Fence, promote and follow calls go to the
 * group task; claims are written to the database's row in the store.
 */
export class FailoverTask extends Task<FailoverTaskMessage> {
  private state: FailoverState;
  private timer: NodeJS.Timeout | undefined;
  private lifecycle: 'running' | 'closed' = 'running';

  constructor(
    private readonly identity: FailoverIdentity,
    private readonly deps: FailoverDependencies,
  ) {
    super();
    // Only one owner can fence a member in each term. A new ID for each process
    // keeps a restarted VM from reusing a term of its earlier process for other
    // calls.
    const owner = `${identity.vm}/${randomBytes(4).toString('hex')}`;
    this.state = initialFailoverState({...identity, owner});
    this.schedule();
  }

  protected override handle(message: FailoverTaskMessage): void {
    switch (message.kind) {
      case 'tick':
        this.observe();
        return;
      case 'configure':
        this.decide({
          kind: 'configured',
          members: message.servers.map(server => ({
            backendServer: server.name,
            address: server.address,
            eligibility: server.state === 'in-service' ? 'allowed' : 'leaving',
          })),
          dataCentresInService: message.dataCentresInService,
        });
        return;
      case 'observed':
      case 'reported':
      case 'progress':
        this.decide(message);
        return;
      case 'close':
        this.lifecycle = 'closed';
        clearTimeout(this.timer);
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    const {database} = this.identity;
    this.deps.log.error(
      {event: 'failover.failed', database, err},
      'failover task failed',
    );
  }

  private observe(): void {
    void ask<GroupObservation>(reply =>
      this.deps.group.tell({kind: 'observe', reply}),
    ).then(observation => this.tell({kind: 'observed', ...observation}));
    this.schedule();
  }

  private schedule(): void {
    const ownReport = this.state.reports[this.identity.vm]?.report.kind;
    const isActive =
      this.state.attempt !== undefined ||
      (ownReport !== undefined && ownReport !== 'clear');
    this.timer = setTimeout(
      () => this.tell({kind: 'tick'}),
      isActive ? ACTIVE_TICK_MS : IDLE_TICK_MS,
    );
  }

  private decide(message: FailoverMessage): void {
    if (this.lifecycle === 'closed') return;
    const {random, clock} = this.deps;
    const step = decideFailover(this.state, message, random, clock());
    this.state = step.state;
    for (const action of step.actions) this.perform(action);
  }

  private perform(action: FailoverAction): void {
    switch (action.kind) {
      case 'report':
        this.deps.sendReport(action.report);
        return;
      case 'started':
      case 'ended':
        this.logAttempt(action.kind, action.attempt);
        if (action.kind === 'ended') this.deps.onEnded(action.attempt);
        return;
      case 'read-row':
        this.runInBackground(async () => this.progress(await this.readRow()));
        return;
      case 'write-row':
        this.runInBackground(async () =>
          this.progress(await this.writeRow(action)),
        );
        return;
      case 'fence':
      case 'promote':
      case 'follow': {
        const {backendServer, ...call} = action;
        this.runInBackground(async () =>
          this.progress(await this.call(backendServer, call)),
        );
        return;
      }
    }
  }

  private progress(event: AttemptEvent): void {
    this.tell({kind: 'progress', event});
  }

  private async call(
    backendServer: string,
    call: MemberControlCall,
  ): Promise<AttemptEvent> {
    const result = await ask<MemberControlResult>(reply =>
      this.deps.group.tell({kind: 'control', backendServer, call, reply}),
    );
    const {kind, term} = call;
    const outcome = outcomeOf(result);
    return {kind: 'answered', call: kind, backendServer, term, outcome};
  }

  private async readRow(): Promise<AttemptEvent> {
    const read = await this.deps.table.read(this.rowKey);
    if (!read.ok) return {kind: 'row-failed', reason: 'unavailable'};
    const row = read.value
      ? (JSON.parse(read.value.value) as ClaimRow)
      : undefined;
    return {kind: 'row-read', row, version: read.value?.version ?? 0};
  }

  private async writeRow(
    action: Extract<AttemptAction, {kind: 'write-row'}>,
  ): Promise<AttemptEvent> {
    const body = JSON.stringify(action.row);
    const {table} = this.deps;
    const written = await table.write(this.rowKey, body, action.expected);
    return written.ok
      ? {kind: 'row-written', version: written.value.version}
      : {kind: 'row-failed', reason: written.err.kind};
  }

  private get rowKey(): string {
    return failoverKey(this.identity.database);
  }

  private logAttempt(event: 'started' | 'ended', attempt: Attempt): void {
    const {database, term, reason, phase, abandoned, candidate} = attempt;
    this.deps.log.info(
      {
        event: `failover.${event}`,
        database,
        term,
        reason,
        phase,
        abandoned,
        candidate,
      },
      `failover attempt ${event}`,
    );
  }
}

function outcomeOf(result: MemberControlResult): CallOutcome {
  if (result.ok) return {kind: 'done', received: result.value.received};
  const isRefused =
    result.err.kind === 'statement-error' ||
    (result.err.kind === 'not-run' &&
      result.err.errno === MYSQL_ERRNO.optionPreventsStatement);
  return {kind: isRefused ? 'refused' : 'no-answer'};
}
