import {
  Random,
  composeVersion,
  eraOf,
  fail,
  ok,
  widenStoreClock,
} from '@pistachiorill/core';
import type {StoreClock, UsageBounds} from '@pistachiorill/core';
import type {PeerError} from '@pistachiorill/peers';
import type {RowTransaction} from '@pistachiorill/store';
import {ask, sleep} from '@pistachiorill/tasks';
import {MachineClocks, SuspensionClock} from '../clock/suspension_clock.js';
import {EMPTY_FLEET_VIEW} from '../fleet/fleet_view.js';
import type {EraView, FleetView} from '../fleet/fleet_view.js';
import type {UsageAnswer} from '../peers/gateway_handlers.js';
import type {KeptCounts} from '../peers/gateway_router.js';
import {PeerSet} from '../peers/peer_set.js';
import {UsageReporter} from '../ports/usage_reporter.js';
import type {UsageReport} from '../ports/usage_reporter.js';
import type {UsageOutcome} from '../usage/report_log.js';
import {UsageSubsystem} from '../usage/usage_subsystem.js';
import {freshViewOf} from './fake_fleet_view.js';
import {silentLogger} from './fake_group.js';
import {FakeStore} from './fake_store.js';

export const USAGE_BOUNDS: UsageBounds = {
  windowMs: 5_000,
  lateMs: 10_000,
  leaseMs: 3_000,
};

/** How long the bounds of the store's clock are wide after a jump. */
const STORE_ANSWER_MS = 300;
const STATEMENT_INTERVAL_MS = 100;

/** A report as it arrived, with the time of its arrival. */
export interface ReceivedReport extends UsageReport {
  readonly at: number;
}

/** Whether a VM reaches the store, runs at all, or is held before a step. */
type VmState = 'up' | 'cut-off' | 'dead';

/** VMs of one process that send usage reports, and their platform. */
export class FakeUsageFleet {
  readonly store = new FakeStore(() => performance.now());
  readonly vms = new Map<string, FakeUsageVm>();
  readonly received: ReceivedReport[] = [];
  /** The true counts by window. */
  readonly begun = new Map<number, number>();
  reporterMode: 'answers' | 'loses-answers' | 'down' = 'answers';
  /** The platform answers no call about this window. */
  unansweredWindow: number | undefined;

  constructor(names: readonly string[]) {
    for (const name of names) this.start(name);
  }

  /** Starts a process of a VM; its name may be that of one that ended. */
  start(name: string, wallAheadMs = 0): FakeUsageVm {
    const vm = new FakeUsageVm(name, this, wallAheadMs);
    this.vms.set(name, vm);
    vm.subsystem.start();
    return vm;
  }

  vm(name: string): FakeUsageVm {
    const vm = this.vms.get(name);
    if (!vm) throw new Error(`fake VM ${name} does not exist`);
    return vm;
  }

  /** The VM that holds the lease. */
  get holder(): FakeUsageVm {
    const row = this.store.rows.get('usage-lease');
    return this.vm(String(row && JSON.parse(row.value).holder));
  }

  /** Takes the store back to a copy of its rows. */
  restore(copy: FakeStore['rows']): void {
    this.store.restore([...copy.values()]);
    // A version of the present era, also if the copy has no rows.
    const counter = 1_000;
    this.store.version = composeVersion(eraOf(this.store.version), counter);
  }
}

/** The clocks of a fake machine, whose wall clock may be set. */
class FakeClocks extends MachineClocks {
  constructor(public wallAheadMs: number) {
    super();
  }

  override monotonic(): number {
    return performance.now();
  }

  override wall(): number {
    return Date.now() + this.wallAheadMs;
  }
}

/** One process with its statements, which runs until it is stopped. */
export class FakeUsageVm {
  readonly clocks: FakeClocks;
  readonly subsystem: UsageSubsystem;
  readonly outcomes: UsageOutcome[] = [];
  state: VmState = 'up';
  /** Whether it calls other VMs and is called by them. */
  peerLinks: 'up' | 'down' = 'up';
  /** Called after each write that the store accepted, before its answer. */
  onWritten: (keys: readonly string[]) => Promise<void> | void = () =>
    undefined;
  private readonly suspension: SuspensionClock;
  private storeClock: StoreClock | undefined;
  private lastView: FleetView = EMPTY_FLEET_VIEW;
  private era: EraView | undefined;
  private readonly statements: NodeJS.Timeout;

  constructor(
    readonly name: string,
    private readonly fleet: FakeUsageFleet,
    wallAheadMs: number,
  ) {
    this.clocks = new FakeClocks(wallAheadMs);
    this.suspension = new SuspensionClock(this.clocks, skippedMs =>
      this.skip(skippedMs),
    );
    const clock = (): number => this.suspension.now();
    this.subsystem = new UsageSubsystem({
      vm: name,
      incarnation: `${name} from ${performance.now()}`,
      bounds: USAGE_BOUNDS,
      view: () => this.view(),
      transact: transaction => this.transact(transaction),
      peers: new FakeUsagePeers(fleet, name),
      reporter: new FakeReporter(fleet, this),
      clock,
      wallClock: () => this.clocks.wall(),
      startedAt: clock(),
      onOutcome: outcome => this.outcomes.push(outcome),
      onMissing: () => undefined,
      log: silentLogger(),
      onFailed: err => {
        throw err;
      },
    });
    this.statements = setInterval(
      () => this.runStatement(),
      STATEMENT_INTERVAL_MS,
    );
  }

  /** Ends the process at once. */
  kill(): void {
    this.state = 'dead';
    clearInterval(this.statements);
    this.subsystem.close();
  }

  /** Ends the process as SIGTERM does. */
  async stop(): Promise<void> {
    this.subsystem.stopReporting();
    await sleep(5_500);
    clearInterval(this.statements);
    await this.subsystem.handOver();
    this.kill();
  }

  /** Answers a peer with the counts of a window. */
  counts(window: number): Promise<UsageAnswer> {
    return ask(reply =>
      this.subsystem.usage.tell({kind: 'counts', window, reply}),
    );
  }

  private runStatement(): void {
    const window = Math.floor(Date.now() / USAGE_BOUNDS.windowMs);
    this.fleet.begun.set(window, (this.fleet.begun.get(window) ?? 0) + 1);
    this.subsystem.count('growers', 'begun', this.suspension.now());
  }

  private skip(skippedMs: number): void {
    const known = this.view().storeClock;
    this.storeClock = widenStoreClock(known, skippedMs);
    setImmediate(() => this.subsystem.clockSkipped(skippedMs));
    setTimeout(() => (this.storeClock = undefined), STORE_ANSWER_MS);
  }

  private view(): FleetView {
    const {store} = this.fleet;
    if (this.state !== 'up') return this.lastView;
    const now = performance.now();
    const number = eraOf(store.version);
    if (this.era?.number !== number) {
      const start = this.era ? 'observed' : 'not-observed';
      this.era = {number, seenAt: this.suspension.now(), start};
    }
    const fresh = freshViewOf(store, now);
    const behindMs = this.suspension.now() - now;
    const {minOffset, maxOffset} = fresh.storeClock;
    this.lastView = {
      ...fresh,
      storeClock: this.storeClock ?? {
        minOffset: minOffset - behindMs,
        maxOffset: maxOffset - behindMs,
      },
      era: this.era,
    };
    return this.lastView;
  }

  private async transact(transaction: RowTransaction) {
    const isUnreachable = this.state !== 'up';
    if (isUnreachable) return fail({kind: 'unavailable', detail: ''} as const);
    const result = await this.fleet.store.transact(transaction);
    if (result.ok) await this.onWritten([...transaction.puts.keys()]);
    return result;
  }
}

/** Receives reports of one VM; a VM that is cut off from the store sends them. */
class FakeReporter extends UsageReporter {
  constructor(
    private readonly fleet: FakeUsageFleet,
    private readonly vm: FakeUsageVm,
  ) {
    super();
  }

  override async send(report: UsageReport, timeoutMs: number) {
    const {received, reporterMode, unansweredWindow} = this.fleet;
    if (report.window === unansweredWindow) {
      await sleep(timeoutMs);
      return fail({kind: 'unknown-outcome', detail: 'no answer'} as const);
    }
    if (this.vm.state === 'dead' || reporterMode === 'down') {
      return fail({kind: 'unavailable', detail: 'down'} as const);
    }
    received.push({...report, at: performance.now()});
    if (reporterMode === 'answers') return ok(undefined);
    return fail({kind: 'unknown-outcome', detail: 'lost'} as const);
  }
}

const NO_ANSWER: PeerError = {kind: 'no-answer', detail: 'dead'};

/** The peers of one VM; those that ended do not answer. */
class FakeUsagePeers extends PeerSet {
  constructor(
    private readonly fleet: FakeUsageFleet,
    private readonly vm: string,
  ) {
    super(new Random(1));
  }

  override get names(): readonly string[] {
    return [...this.fleet.vms.keys()].filter(name => name !== this.vm);
  }

  override async usage(name: string, window: number, timeoutMs: number) {
    const peer = this.fleet.vm(name);
    if (!this.reaches(peer)) {
      await sleep(timeoutMs);
      return fail(NO_ANSWER);
    }
    return ok(await peer.counts(window));
  }

  override async keepUsage(name: string, counts: KeptCounts) {
    const peer = this.fleet.vm(name);
    if (!this.reaches(peer)) return fail(NO_ANSWER);
    peer.subsystem.usage.tell({kind: 'keep', counts});
    return ok(undefined);
  }

  private reaches(peer: FakeUsageVm): boolean {
    const own = this.fleet.vm(this.vm);
    const areLinked = own.peerLinks === 'up' && peer.peerLinks === 'up';
    return peer.state !== 'dead' && areLinked;
  }
}
