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
import type {ControlCall, ControlResult} from '../group/member_control_task.js';

const IDLE_TICK_MS = 250;
const ACTIVE_TICK_MS = 50;

export type FailoverTaskMessage =
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'configure';
      readonly servers: readonly BackendServer[];
      readonly dataCentresInService: number;
    }
  | Exclude<FailoverMessage, {kind: 'configured'}>
  | {readonly kind: 'close'};

/** Names the VM and the group that a task acts for. */
export type FailoverIdentity = Pick<
  FailoverState,
  'database' | 'vm' | 'dataCentre' | 'moveGraceMs'
>;

/** The collaborators of a failover task. */
export interface FailoverTools {
  readonly group: GroupTask;
  readonly table: TableService;
  readonly clock: Clock;
  readonly random: Random;
  /** Passes this VM's report on to the other VMs. */
  readonly sendReport: (report: FailoverReport) => void;
  /** Records the end of an attempt of this VM. */
  readonly onEnded: (attempt: Attempt) => void;
  readonly log: Logger;
}

/** The key of the row that serialises the attempts for a database. */
export function failoverKey(database: string): string {
  return `failover/${database}`;
}

/** Carries out one VM's failover decisions for one group. */
export class FailoverTask extends Task<FailoverTaskMessage> {
  private state: FailoverState;
  private timer: NodeJS.Timeout | undefined;
  private lifecycle: 'running' | 'closed' = 'running';

  constructor(
    private readonly identity: FailoverIdentity,
    private readonly tools: FailoverTools,
  ) {
    super();
    // A restarted VM is another owner, so it never repeats a call of a term
    // that its former process has used in another way.
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
            standing: server.state === 'in-service' ? 'allowed' : 'leaving',
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
    this.tools.log.error(
      {event: 'failover.failed', database, err},
      'failover task failed',
    );
  }

  private observe(): void {
    void ask<GroupObservation>(reply =>
      this.tools.group.tell({kind: 'observe', reply}),
    ).then(seen => this.tell({kind: 'observed', ...seen}));
    this.schedule();
  }

  private schedule(): void {
    const own = this.state.reports[this.identity.vm]?.report.kind;
    const active =
      this.state.attempt !== undefined ||
      (own !== undefined && own !== 'clear');
    this.timer = setTimeout(
      () => this.tell({kind: 'tick'}),
      active ? ACTIVE_TICK_MS : IDLE_TICK_MS,
    );
  }

  private decide(message: FailoverMessage): void {
    if (this.lifecycle === 'closed') return;
    const {random, clock} = this.tools;
    const step = decideFailover(this.state, message, random, clock());
    this.state = step.state;
    for (const action of step.actions) this.carryOut(action);
  }

  private carryOut(action: FailoverAction): void {
    switch (action.kind) {
      case 'report':
        this.tools.sendReport(action.report);
        return;
      case 'started':
      case 'ended':
        this.logAttempt(action.kind, action.attempt);
        if (action.kind === 'ended') this.tools.onEnded(action.attempt);
        return;
      case 'read-row':
        void this.readRow().then(event => this.progress(event));
        return;
      case 'write-row':
        void this.writeRow(action).then(event => this.progress(event));
        return;
      case 'fence':
      case 'promote':
      case 'follow': {
        const {backendServer, ...call} = action;
        void this.call(backendServer, call).then(event => this.progress(event));
        return;
      }
    }
  }

  private progress(event: AttemptEvent): void {
    this.tell({kind: 'progress', event});
  }

  private async call(
    backendServer: string,
    call: ControlCall,
  ): Promise<AttemptEvent> {
    const result = await ask<ControlResult>(reply =>
      this.tools.group.tell({kind: 'control', backendServer, call, reply}),
    );
    const {kind, term} = call;
    const outcome = outcomeOf(result);
    return {kind: 'answered', call: kind, backendServer, term, outcome};
  }

  private async readRow(): Promise<AttemptEvent> {
    const read = await this.tools.table.read(this.rowKey);
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
    const {table} = this.tools;
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
    this.tools.log.info(
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

function outcomeOf(result: ControlResult): CallOutcome {
  if (result.ok) return {kind: 'done', received: result.value.received};
  const refused =
    result.err.kind === 'statement-error' ||
    (result.err.kind === 'not-run' &&
      result.err.errno === MYSQL_ERRNO.optionPreventsStatement);
  return {kind: refused ? 'refused' : 'no-answer'};
}
