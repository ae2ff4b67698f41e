import {Counter, Gauge, Histogram, Registry} from 'prom-client';

const LATENCY_BUCKETS_S = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 2, 6];

/** Prometheus metrics of one VM. */
export class GatewayMetrics {
  readonly registry = new Registry();

  private readonly statementSeconds = new Histogram({
    name: 'pistachiorill_gateway_statement_seconds',
    help: 'Time from the arrival of a statement to its answer.',
    labelNames: ['access'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  private readonly refusals = new Counter({
    name: 'pistachiorill_gateway_refusals_total',
    help: 'Statements and sessions that were refused, by reason.',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  private readonly unansweredStatements = new Counter({
    name: 'pistachiorill_gateway_unanswered_statements_total',
    help: 'Statements that arrived after their session was closed.',
    registers: [this.registry],
  });

  private readonly undeliveredReplies = new Counter({
    name: 'pistachiorill_gateway_undelivered_replies_total',
    help: 'Replies that were not sent, as the connection had ended.',
    registers: [this.registry],
  });

  private readonly rollbacks = new Counter({
    name: 'pistachiorill_gateway_rollbacks_total',
    help: 'Transactions that the VM rolled back, by reason.',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  private readonly changes = new Counter({
    name: 'pistachiorill_gateway_primary_changes_total',
    help: 'Changes of primary that this VM carried out, by outcome.',
    labelNames: ['outcome'],
    registers: [this.registry],
  });

  private readonly storeFailures = new Counter({
    name: 'pistachiorill_gateway_store_failures_total',
    help: 'Calls to the store without a usable answer, by call.',
    labelNames: ['call'],
    registers: [this.registry],
  });

  private readonly configurationVersion = new Gauge({
    name: 'pistachiorill_gateway_configuration_version',
    help: 'Version of the configuration that is in force on this VM.',
    registers: [this.registry],
  });

  private readonly configurationConfirmedAt = new Gauge({
    name: 'pistachiorill_gateway_configuration_confirmed_timestamp_seconds',
    help: 'Time at which the store last confirmed the newest configuration.',
    registers: [this.registry],
  });

  private readonly limitsExceeded = new Counter({
    name: 'pistachiorill_gateway_limits_exceeded_total',
    help: 'Limits that clients or members exceeded, by limit and entry point.',
    labelNames: ['limit', 'entry'],
    registers: [this.registry],
  });

  private readonly callerConnections = new Gauge({
    name: 'pistachiorill_gateway_caller_connections',
    help: 'Open connections of callers.',
    registers: [this.registry],
  });

  private readonly callerBytes = new Gauge({
    name: 'pistachiorill_gateway_caller_bytes',
    help: 'Bytes held for callers, by direction.',
    labelNames: ['direction'],
    registers: [this.registry],
  });

  /** Records the version of the configuration that is now in force. */
  configurationApplied(version: number): void {
    this.configurationVersion.set(version);
  }

  /** Records that the store just confirmed the newest configuration. */
  configurationConfirmed(): void {
    this.configurationConfirmedAt.setToCurrentTime();
  }

  /** Records the latency of an answered statement, by its kind of access. */
  answered(access: string, tookMs: number): void {
    this.statementSeconds.observe({access}, tookMs / 1_000);
  }

  /** Counts a refused statement or session. */
  refused(reason: string): void {
    this.refusals.inc({reason});
  }

  /** Counts a statement that a closed session leaves unanswered. */
  unanswered(): void {
    this.unansweredStatements.inc();
  }

  /** Counts a reply whose connection ended before it. */
  undelivered(): void {
    this.undeliveredReplies.inc();
  }

  /** Counts a transaction that the VM rolled back. */
  rolledBack(reason: string): void {
    this.rollbacks.inc({reason});
  }

  /** Counts a primary change that this VM carried out. */
  primaryChanged(outcome: string): void {
    this.changes.inc({outcome});
  }

  /** Counts a call to the store without a usable answer. */
  storeFailed(call: string): void {
    this.storeFailures.inc({call});
  }

  /** Counts a limit that a client or a member exceeded. */
  limitExceeded(limit: string, entry: string): void {
    this.limitsExceeded.inc({limit, entry});
  }

  /** Records what is held for callers. */
  callersUse(use: {
    readonly connections: number;
    readonly inboundBytes: number;
    readonly outboundBytes: number;
  }): void {
    this.callerConnections.set(use.connections);
    this.callerBytes.set({direction: 'in'}, use.inboundBytes);
    this.callerBytes.set({direction: 'out'}, use.outboundBytes);
  }
}
