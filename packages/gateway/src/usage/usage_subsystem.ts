import {ask} from '@pistachiorill/tasks';
import type {StatementCounter} from '../database/database_tools.js';
import type {ReportDependencies} from './report_task.js';
import {ReportTask} from './report_task.js';
import type {UsageDependencies} from './usage_task.js';
import {UsageTask} from './usage_task.js';

/** Collaborators of the tasks for usage reports. */
export type UsageSubsystemDependencies = Omit<ReportDependencies, 'usage'> &
  UsageDependencies;

/** The tasks of a VM for usage reports; exists only where they are required. */
export class UsageSubsystem {
  readonly usage: UsageTask;
  private readonly reports: ReportTask;

  constructor(deps: UsageSubsystemDependencies) {
    this.usage = new UsageTask(deps);
    this.reports = new ReportTask({...deps, usage: this.usage});
  }

  /** Counts a statement that is sent to a member. */
  readonly count: StatementCounter = (workspace, state, at) =>
    this.usage.tell({kind: 'statement', workspace, state, at});

  start(): void {
    this.usage.tell({kind: 'start'});
    this.reports.tell({kind: 'tick'});
  }

  clockSkipped(skippedMs: number): void {
    this.usage.tell({kind: 'clock-skipped', skippedMs});
  }

  /** Lets the lease expire, so that another VM has it before this one exits. */
  stopReporting(): void {
    this.reports.tell({kind: 'stop'});
  }

  /** Passes the counts of this VM on to others. */
  handOver(): Promise<void> {
    return ask(reply => this.usage.tell({kind: 'hand-over', reply}));
  }

  close(): void {
    this.reports.tell({kind: 'stop'});
    this.usage.tell({kind: 'stop'});
  }
}
