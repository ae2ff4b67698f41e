import {BUILD_ID} from '@pistachiorill/telemetry';
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

  private readonly overloads = new Counter({
    name: 'pistachiorill_gateway_overload_refusals_total',
    help: 'Statements refused before a member, by reason and priority.',
    labelNames: ['reason', 'priority'],
    registers: [this.registry],
  });

  private readonly deniedRetries = new Counter({
    name: 'pistachiorill_gateway_denied_retries_total',
    help: 'Retries of refused statements that were denied, by reason and priority.',
    labelNames: ['reason', 'priority'],
    registers: [this.registry],
  });

  private readonly memberLimit = new Gauge({
    name: 'pistachiorill_gateway_member_concurrency_limit',
    help: 'Limit on concurrent statements at a member; 0 if there is none.',
    labelNames: ['group', 'member'],
    registers: [this.registry],
  });

  private readonly forwardedStatements = new Counter({
    name: 'pistachiorill_gateway_forwarded_statements_total',
    help: 'Statements that were sent to an owner.',
    registers: [this.registry],
  });

  private readonly forwardFallbacks = new Counter({
    name: 'pistachiorill_gateway_forward_fallbacks_total',
    help: 'Owners that were passed over or gave no result, by reason.',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  private readonly statementsForOthers = new Counter({
    name: 'pistachiorill_gateway_statements_for_others_total',
    help: 'Statements that this VM ran as an owner for other VMs.',
    registers: [this.registry],
  });

  private readonly heldNow = new Gauge({
    name: 'pistachiorill_gateway_held_transactions',
    help: 'Open transactions that this VM holds for other VMs.',
    registers: [this.registry],
  });

  private readonly heldRollbacks = new Counter({
    name: 'pistachiorill_gateway_held_rollbacks_total',
    help: 'Transactions of other VMs that this VM rolled back, by reason.',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  private readonly changes = new Counter({
    name: 'pistachiorill_gateway_primary_changes_total',
    help: 'Changes of primary that this VM carried out, by outcome.',
    labelNames: ['outcome'],
    registers: [this.registry],
  });

  private readonly usageReports = new Counter({
    name: 'pistachiorill_gateway_usage_reports_total',
    help: 'Usage reports whose window this VM settled, by outcome.',
    labelNames: ['outcome'],
    registers: [this.registry],
  });

  private readonly usageMissingVms = new Counter({
    name: 'pistachiorill_gateway_usage_missing_vms_total',
    help: 'VMs that did not answer before the counts of a window were recorded.',
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

  constructor() {
    new Gauge({
      name: 'pistachiorill_gateway_build_info',
      help: 'Always 1; the label names the program that the process runs.',
      labelNames: ['build'],
      registers: [this.registry],
    }).set({build: BUILD_ID}, 1);
  }

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

  /** Counts a statement that was refused as its wait was or would be too long. */
  overloaded(reason: string, priority: number): void {
    this.overloads.inc({reason, priority});
  }

  /** Counts a retry of a refused statement that was denied. */
  retryDenied(reason: string, priority: number): void {
    this.deniedRetries.inc({reason, priority});
  }

  /** Records the limit on concurrent statements at a member, if any. */
  memberLimited(group: string, member: string, limit: number): void {
    this.memberLimit.set({group, member}, Number.isFinite(limit) ? limit : 0);
  }

  /** Drops the limit of a member that left. */
  memberLeft(group: string, member: string): void {
    this.memberLimit.remove({group, member});
  }

  /** Counts a statement that was sent to an owner. */
  forwarded(): void {
    this.forwardedStatements.inc();
  }

  /** Counts an owner that was passed over or gave no result. */
  forwardFellBack(reason: string): void {
    this.forwardFallbacks.inc({reason});
  }

  /** Counts a statement that this VM ran for another one. */
  ranForOther(): void {
    this.statementsForOthers.inc();
  }

  /** Records the number of transactions that this VM holds for others. */
  heldTransactions(count: number): void {
    this.heldNow.set(count);
  }

  /** Counts a transaction of another VM that this VM rolled back. */
  heldRolledBack(reason: string): void {
    this.heldRollbacks.inc({reason});
  }

  /** Counts a primary change that this VM carried out. */
  primaryChanged(outcome: string): void {
    this.changes.inc({outcome});
  }

  /** Counts a window whose usage report was sent or given up. */
  usageReported(outcome: string): void {
    this.usageReports.inc({outcome});
  }

  /** Counts VMs whose counts a usage report lacks. */
  usageMissing(vms: number): void {
    this.usageMissingVms.inc(vms);
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
