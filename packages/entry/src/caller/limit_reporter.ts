import {LimitLog} from '@pistachiorill/core';
import type {ExceededLimit} from '@pistachiorill/core';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger, Metrics} from '@pistachiorill/telemetry';

/** The listening sockets of a VM, as logs and metrics name them. */
export type EntryPoint = 'mysql' | 'peers' | 'http';

/** Counts exceeded limits and logs them at a limited rate. */
export class LimitReporter {
  private readonly limitLog = new LimitLog();

  constructor(
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly metrics: Metrics,
  ) {}

  report(entry: EntryPoint, limit: ExceededLimit, address: string): void {
    this.metrics.limitsExceeded.inc({entry, limit});
    const events = this.limitLog.record(`${entry} ${limit}`, this.clock());
    if (events === undefined) return;
    this.log.warn(
      {event: 'limit.exceeded', entry, limit, address, events},
      'a client exceeded a limit',
    );
  }
}
