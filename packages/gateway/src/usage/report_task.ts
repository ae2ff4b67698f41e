import {
  ClockComparison,
  REPORT_TIMEOUT_MS,
  ReportAttempts,
  decideClockTrust,
  decideUsageStep,
  dueAt,
  firstRecordable,
  newestWindow,
  obsoleteRecords,
  reviewDropped,
  windowAt,
} from '@pistachiorill/core';
import type {
  ClockTrust,
  ComparisonState,
  Result,
  UsageStep,
} from '@pistachiorill/core';
import {Task, ask, settled} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import {usageKey} from '../fleet/fleet_rows.js';
import {isProven, isStoreResponsive, leaseEra} from '../fleet/fleet_view.js';
import type {UsageAnswer} from '../peers/gateway_handlers.js';
import type {UsageReportError, UsageReporter} from '../ports/usage_reporter.js';
import {collectCounts, totalCounts} from './collect_counts.js';
import type {CollectedCounts, Collection} from './collect_counts.js';
import {RankedLease} from './ranked_lease.js';
import type {RankedLeaseDependencies} from './ranked_lease.js';
import type {ReportMessage} from './report_message.js';
import {ReportLog} from './report_log.js';
import type {UsageOutcome} from './report_log.js';
import type {UsageTask} from './usage_task.js';

const TICK_INTERVAL_MS = 200;
/** The pause before VMs that did not answer are asked again. */
const COLLECT_RETRY_MS = 500;
/** The pause after a write to the store that did not succeed. */
const WRITE_RETRY_MS = 300;

/** Collaborators of the report task. */
export interface ReportDependencies extends RankedLeaseDependencies {
  readonly usage: UsageTask;
  readonly reporter: UsageReporter;
  readonly clock: Clock;
  /** When the process started, by this VM's clock. */
  readonly startedAt: number;
  readonly onOutcome: (outcome: UsageOutcome) => void;
  /** Called with the number of VMs whose counts a report lacks. */
  readonly onMissing: (vms: number) => void;
  readonly log: Logger;
  readonly onFailed: (err: unknown) => void;
}

/** Sends the usage reports while this VM holds the usage lease. */
export class ReportTask extends Task<ReportMessage> {
  private readonly lease: RankedLease;
  private readonly log: ReportLog;
  private phase: 'running' | 'stopped' = 'running';
  /** A write or a report that has no answer yet. */
  private action: 'idle' | 'under-way' = 'idle';
  private collection: Collection | undefined;
  private readonly clocks = new ClockComparison();
  /** A comparison that is not finished. */
  private comparison: 'idle' | 'under-way' = 'idle';
  private readonly attempts = new ReportAttempts();
  private writeAt = -Infinity;
  /** Windows up to this one were settled or dropped; undefined without lease. */
  private reviewedTo: number | undefined;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly deps: ReportDependencies) {
    super();
    this.lease = new RankedLease(deps);
    this.log = new ReportLog(deps.log);
  }

  protected override async handle(message: ReportMessage): Promise<void> {
    switch (message.kind) {
      case 'tick':
        await this.tick();
        return;
      case 'collected':
        this.collected(message);
        return;
      case 'compared':
        this.comparison = 'idle';
        this.correctClock(message.answers);
        return;
      case 'written':
        this.written(message);
        return;
      case 'answered':
        this.answered(message.window, message.result);
        return;
      case 'stop':
        this.phase = 'stopped';
        clearTimeout(this.timer);
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.action = 'idle';
    this.comparison = 'idle';
    this.collection = undefined;
    this.deps.onFailed(err);
    this.schedule(TICK_INTERVAL_MS);
  }

  private async tick(): Promise<void> {
    // Reading the clock detects a jump. Tasks handle that message before this goes
    // on; otherwise the jump would move this step to another window.
    this.deps.clock();
    await settled();
    if (this.phase === 'stopped') return;
    this.schedule(TICK_INTERVAL_MS);
    const {bounds, clock, view} = this.deps;
    const now = clock();
    this.lease.noteStore(now);
    if (!isProven(view(), now) || this.action === 'under-way') return;
    const wallMs = this.deps.usage.wallTimeAt(now);
    const lease = this.lease.state(now);
    const records = view().rows.usage;
    const firstRecordable = this.firstRecordable(now);
    if (lease.kind !== 'held') {
      this.reviewedTo = undefined;
      this.clocks.reset();
    }
    const trust = this.clockTrust(now);
    const comparison = this.comparisonState(now, trust);
    if (comparison === 'done') this.log.clockTrust(trust);
    // A wrong clock is corrected first; it would give up windows that are due.
    const isCompared = comparison === 'done' && trust.kind === 'trusted';
    if (lease.kind === 'held' && isCompared) {
      this.dropOld(firstRecordable, wallMs);
    }
    const step = decideUsageStep(
      {
        lease,
        records,
        settled: this.attempts.settled,
        failed: this.attempts.failed,
        firstRecordable,
        collection: this.collection,
        comparison,
        clock: trust.kind,
      },
      bounds,
      {wallMs, now},
    );
    this.perform(step, now, wallMs);
  }

  private schedule(ms: number): void {
    clearTimeout(this.timer);
    if (this.phase === 'stopped') return;
    this.timer = setTimeout(() => this.tell({kind: 'tick'}), ms);
  }

  private firstRecordable(now: number): number {
    const {bounds, startedAt, usage, view} = this.deps;
    const {number, seenForMs} = leaseEra(view(), now);
    const start = {
      startedAt: usage.wallTimeAt(startedAt),
      era: number,
      eraSeenAt: usage.wallTimeAt(now - seenForMs),
    };
    return firstRecordable(view().rows.usage, start, bounds);
  }

  private perform(step: UsageStep, now: number, wallMs: number): void {
    switch (step.kind) {
      case 'wait':
        return;
      case 'compare-clocks':
        this.compareClocks(now);
        return;
      case 'collect':
        this.collect(step.window);
        return;
      case 'send':
        this.send(step.window);
        return;
      case 'acquire':
      case 'renew':
      case 'record':
        if (now < this.writeAt) return;
        if (!isStoreResponsive(this.deps.view(), now)) return;
        this.write(step, now, wallMs);
        return;
    }
  }

  private clockTrust(now: number): ClockTrust {
    const {peers, usage, view} = this.deps;
    const ownOffset = usage.wallTimeAt(0);
    const records = view().rows.usage;
    return decideClockTrust({
      peers: this.clocks.confirmation(peers.names, ownOffset, now),
      ownOffset,
      storeClock: view().storeClock,
      era: this.lease.row.era,
      newest: records.get(newestWindow(records) ?? NaN),
    });
  }

  private comparisonState(now: number, {kind}: ClockTrust): ComparisonState {
    if (this.comparison === 'under-way') return 'under-way';
    const ownOffset = this.deps.usage.wallTimeAt(0);
    return this.clocks.isDue(ownOffset, now, kind) ? 'due' : 'done';
  }

  /** Asks all VMs for their time; the counts in their answers are not used. */
  private compareClocks(now: number): void {
    const {bounds, clock, peers, usage} = this.deps;
    this.comparison = 'under-way';
    const wallTime = (): number => usage.wallTimeAt(clock());
    const window = windowAt(usage.wallTimeAt(now), bounds);
    this.runInBackground(async () => {
      const {names} = peers;
      const answers = await collectCounts(window, names, peers, wallTime);
      this.tell({kind: 'compared', answers});
    });
  }

  /** Returns by how much this VM's wall-clock time was corrected. */
  private correctClock(answers: CollectedCounts): number {
    const {clock, peers, usage} = this.deps;
    const now = clock();
    const ownOffset = usage.wallTimeAt(0);
    const aheadMs = new Map([...answers].map(([vm, a]) => [vm, a.aheadMs]));
    this.clocks.note(aheadMs, ownOffset, now);
    const byMs = this.clocks.deviation(peers.names, ownOffset, now);
    if (byMs === 0) return 0;
    // The counts may be those of a window that has not ended.
    this.collection = undefined;
    this.log.corrected(byMs);
    usage.tell({kind: 'correct', byMs});
    return byMs;
  }

  /** Asks this VM's task and the VMs that have not answered yet. */
  private collect(window: number): void {
    const {clock, peers, usage} = this.deps;
    const wallTime = (): number => usage.wallTimeAt(clock());
    const before = this.collection;
    const known = before?.window === window ? before.answers : new Map();
    this.collection = {
      window,
      state: 'under-way',
      retryAt: Infinity,
      answers: known,
      own: [],
    };
    const missing = peers.names.filter(name => !known.has(name));
    this.runInBackground(async () => {
      const answers = await collectCounts(window, missing, peers, wallTime);
      const own = await ask<UsageAnswer>(reply =>
        usage.tell({kind: 'counts', window, reply}),
      );
      const {processes} = own;
      this.tell({kind: 'collected', window, own: processes, answers});
    });
  }

  private collected({
    window,
    own,
    answers: newAnswers,
  }: Extract<ReportMessage, {kind: 'collected'}>): void {
    if (this.collection?.window !== window) return;
    const {clock, peers} = this.deps;
    const answers = new Map([...this.collection.answers, ...newAnswers]);
    if (this.correctClock(newAnswers) !== 0) return;
    const isComplete = peers.names.every(name => answers.has(name));
    this.collection = {
      window,
      state: isComplete ? 'complete' : 'incomplete',
      retryAt: clock() + COLLECT_RETRY_MS,
      answers,
      own,
    };
    if (isComplete) this.schedule(0);
  }

  /** Writes the lease, and with it the counts of a window if they are ready. */
  private write(step: UsageStep, now: number, wallMs: number): void {
    this.action = 'under-way';
    this.runInBackground(async () => {
      const result = await this.writeLease(step, now, wallMs);
      // The view has the written rows only after the fleet's task ran.
      await settled();
      this.tell({kind: 'written', step, result});
    });
  }

  private async writeLease(step: UsageStep, now: number, wallMs: number) {
    if (step.kind === 'acquire') {
      const decision = this.lease.row.decide(now);
      if (decision.kind !== 'take') return undefined;
      return this.lease.row.acquire(decision.fence, now);
    }
    if (step.kind !== 'record') return this.lease.row.extend(now);
    const {bounds, view} = this.deps;
    const {collection} = this;
    const counts = totalCounts(collection?.own, collection?.answers);
    const {era} = this.lease.row;
    const trust = this.clockTrust(now);
    if (trust.kind === 'untrusted') return undefined;
    const {wallOffset} = trust;
    const key = usageKey(step.window);
    return this.lease.row.extend(now, {
      expected: new Map([[key, 0]]),
      puts: new Map([[key, JSON.stringify({counts, era, wallOffset})]]),
      removals: obsoleteRecords(view().rows.usage, bounds, wallMs).map(
        usageKey,
      ),
    });
  }

  private written({
    step,
    result,
  }: Extract<ReportMessage, {kind: 'written'}>): void {
    this.action = 'idle';
    const {clock, peers, onMissing} = this.deps;
    const answers = this.collection?.answers;
    const missing = peers.names.filter(name => !answers?.has(name));
    this.log.written(step, this.lease.fence, result, missing);
    if (!result?.ok) {
      this.writeAt = clock() + WRITE_RETRY_MS;
      return;
    }
    if (step.kind === 'record') onMissing(missing.length);
    this.schedule(0);
  }

  /** Sends what is recorded for a window; the lease was checked just now. */
  private send(window: number): void {
    const {reporter, view, vm} = this.deps;
    const record = view().rows.usage.get(window);
    const fence = this.lease.fence;
    if (!record || fence === undefined) return;
    this.action = 'under-way';
    const report = {window, counts: record.counts, holder: vm, fence};
    this.runInBackground(async () => {
      const result = await reporter.send(report, REPORT_TIMEOUT_MS);
      this.tell({kind: 'answered', window, result});
    });
  }

  private answered(
    window: number,
    result: Result<void, UsageReportError>,
  ): void {
    this.action = 'idle';
    const {bounds, clock, usage} = this.deps;
    const now = clock();
    const wallMs = usage.wallTimeAt(now);
    if (!result.ok && result.err.kind !== 'rejected') {
      this.attempts.noteFailure(window, now);
      this.log.unsent(window, result.err);
      return;
    }
    const sent = wallMs <= dueAt(window, bounds) ? 'sent' : 'late';
    const outcome = result.ok ? sent : 'rejected';
    const err = result.ok ? undefined : result.err;
    this.log.answered(window, outcome, this.lease.fence, err);
    this.attempts.noteSettled(window);
    this.deps.onOutcome(outcome);
    this.schedule(0);
  }

  /** Gives up the windows whose report is too late to be of use. */
  private dropOld(firstRecordable: number, wallMs: number): void {
    const {bounds, onOutcome, view} = this.deps;
    const {reviewedTo, attempts} = this;
    const records = view().rows.usage;
    const review = reviewDropped(
      {reviewedTo, records, settled: attempts.settled, firstRecordable},
      bounds,
      wallMs,
    );
    this.reviewedTo = review.reviewedTo;
    for (const window of review.dropped) {
      this.log.dropped(window);
      onOutcome('dropped');
    }
    attempts.removeUpTo(review.givenUpTo);
  }
}
