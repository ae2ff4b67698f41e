import type {ClientLimit} from '@pistachiorill/core';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {GatewayMetrics} from '../telemetry/gateway_metrics.js';
import {LimitLog} from './limit_log.js';
import type {EntryPoint, LimitRecord} from './limit_log.js';

/** The bytes and connections that a process holds for its callers. */
export interface CallerUse {
  readonly connections: number;
  readonly inboundBytes: number;
  readonly outboundBytes: number;
}

const FLUSH_INTERVAL_MS = 1_000;

/** Counts and logs the limits that clients and members exceed. */
export class LimitReporter {
  private readonly records = new LimitLog();
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly deps: {
      readonly clock: Clock;
      readonly log: Logger;
      readonly metrics: GatewayMetrics;
    },
  ) {
    this.timer = setInterval(() => this.flush(), FLUSH_INTERVAL_MS);
    this.timer.unref();
  }

  /** Counts an exceeded limit, and logs it unless that was done just now. */
  exceeded(limit: ClientLimit, entry: EntryPoint, address: string): void {
    const {clock, metrics} = this.deps;
    metrics.limitExceeded(limit, entry);
    const record = this.records.count(clock(), limit, entry, address);
    if (record) this.write(record);
  }

  /** Exports what the process holds for its callers. */
  callersUse(use: CallerUse): void {
    this.deps.metrics.callersUse(use);
  }

  private flush(): void {
    for (const record of this.records.takeDue(this.deps.clock())) {
      this.write(record);
    }
  }

  private write(record: LimitRecord): void {
    this.deps.log.warn(
      {event: 'limit.exceeded', ...record},
      'clients exceed a limit',
    );
  }
}
