import {
  continueObservation,
  hasUnconfirmedRevocation,
  initialShares,
  latestStoreTime,
  earliestStoreTime,
  mayHoldPrimaryLease,
  nextShares,
  observedAt,
  rendezvousOrder,
} from '@pistachiorill/core';
import type {ObservationPeriod, Result} from '@pistachiorill/core';
import type {
  RowTransaction,
  StoreWriteError,
  TransactionResult,
} from '@pistachiorill/store';
import {Task} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {PeerSet} from '../peers/peer_set.js';
import {SHARES_KEY, vmKey} from './fleet_rows.js';
import {isProven} from './fleet_view.js';
import type {FleetView} from './fleet_view.js';

const ALLOCATION_INTERVAL_MS = 2_000;
/**
 * The interval until the first table is written and while the loss of a VM is
 * not certain yet.
 */
const UNSETTLED_ALLOCATION_INTERVAL_MS = 500;
/** The interval of a VM that divides the rates only if no candidate answers. */
const STANDBY_ALLOCATION_INTERVAL_MS = 6_000;
const PING_TIMEOUT_MS = 400;
/** Key by which the VMs are ordered. */
const ORDER_KEY = 'shares';
/**
 * The number of VMs that come first in the order. Those behind them only check
 * that one of them answers.
 */
const CANDIDATE_COUNT = 8;
/**
 * A VM that has not answered for this long is presumed dead. The sooner this
 * is recorded, the sooner a primary change no longer waits for it; a VM that is
 * alive registers again.
 */
const PRESUMED_DEAD_AFTER_MS = 4_000;
/** A VM that was not pinged for longer may have answered meanwhile. */
const MAX_PING_GAP_MS = 5_000;
/** VMs start together, so the first table waits until all have registered. */
const FIRST_TABLE_DELAY_MS = 1_500;

/** Collaborators of the task that divides the rates. */
export interface ShareAllocatorDependencies {
  readonly vm: string;
  readonly view: () => FleetView;
  readonly transact: (
    transaction: RowTransaction,
  ) => Promise<Result<TransactionResult, StoreWriteError>>;
  readonly peers: PeerSet;
  readonly clock: Clock;
  readonly log: Logger;
  readonly onFailed: (err: unknown) => void;
}

/** What a table of shares follows from. */
interface TableBasis {
  /** The VMs whose entries expired with it. */
  readonly expired: readonly string[];
  /** The VMs that answered the pings before it. */
  readonly answering: readonly string[];
}

/** `keep` divides the rates now and schedules the next run. */
export type ShareAllocatorMessage =
  {readonly kind: 'keep'} | {readonly kind: 'stop'};

/**
 * Divides the rates among the VMs. Only the VM that comes first in a fixed order
 * among those that answer does so. A second VM that does the same at the same time is
 * harmless, because each write depends on the version of the row.
 */
export class ShareAllocator extends Task<ShareAllocatorMessage> {
  private timer: NodeJS.Timeout | undefined;
  /** The VMs that did not answer their last pings, and when these were sent. */
  private readonly silences = new Map<string, ObservationPeriod>();
  private joinedSince: number | undefined;
  private phase: 'running' | 'stopped' = 'running';
  private role: 'candidate' | 'standby' = 'candidate';

  constructor(private readonly deps: ShareAllocatorDependencies) {
    super();
  }

  protected override async handle(
    message: ShareAllocatorMessage,
  ): Promise<void> {
    if (message.kind === 'stop') {
      this.phase = 'stopped';
      clearTimeout(this.timer);
      return;
    }
    if (this.phase === 'stopped') return;
    await this.keep();
    const shares = this.deps.view().rows.shares?.value;
    const isSettled = shares && !hasUnconfirmedRevocation(shares);
    const candidateWait = isSettled
      ? ALLOCATION_INTERVAL_MS
      : UNSETTLED_ALLOCATION_INTERVAL_MS;
    const wait =
      this.role === 'candidate'
        ? candidateWait
        : STANDBY_ALLOCATION_INTERVAL_MS;
    this.timer = setTimeout(() => this.tell({kind: 'keep'}), wait);
  }

  protected override onFailure(err: unknown): void {
    this.deps.onFailed(err);
    this.timer = setTimeout(
      () => this.tell({kind: 'keep'}),
      ALLOCATION_INTERVAL_MS,
    );
  }

  /** Writes the first or the next table of shares if this VM is responsible. */
  private async keep(): Promise<void> {
    const {vm, view, clock} = this.deps;
    const rows = view().rows;
    const now = clock();
    const isRegistered = view().proof !== undefined && rows.vms.has(vm);
    if (!isRegistered) return;
    this.joinedSince ??= now;
    const names = [...rows.vms.keys()].sort();
    if (!(await this.isFirstAnswering(names))) return;
    if (!rows.shares) {
      if (now - this.joinedSince < FIRST_TABLE_DELAY_MS) return;
      await this.write(initialShares(names), 0, {expired: [], answering: []});
      return;
    }
    if (!isProven(view(), clock())) return;
    const sharingVms = Object.keys(rows.shares.value);
    const all = [...new Set([...names, ...sharingVms])];
    const answering = [vm, ...(await this.pingAll(all))];
    const latest = latestStoreTime(view().storeClock, clock());
    const earliest = earliestStoreTime(view().storeClock, clock());
    const lost = all.filter(name => this.isPresumedDead(name));
    const next = nextShares(rows.shares.value, {
      answering,
      present: names.filter(name => !lost.includes(name)),
      lost,
      at: latest,
      isExpired: lostBy => !mayHoldPrimaryLease(lostBy, earliest),
    });
    if (!next) return;
    const expired = sharingVms.filter(name => !next[name]);
    await this.write(next, rows.shares.version, {expired, answering});
  }

  /** Whether no VM that comes earlier in the order answers. */
  private async isFirstAnswering(names: readonly string[]): Promise<boolean> {
    const order = rendezvousOrder(ORDER_KEY, names);
    const earlier = order.slice(0, order.indexOf(this.deps.vm));
    this.role = earlier.length < CANDIDATE_COUNT ? 'candidate' : 'standby';
    const candidates = earlier.slice(0, CANDIDATE_COUNT);
    const [first] =
      this.role === 'candidate'
        ? candidates
        : this.deps.peers.sample(1, undefined, candidates);
    if (first !== undefined && (await this.ping(first))) return false;
    const rest = earlier.filter(name => name !== first);
    // Several at once: a whole data centre may not answer.
    for (let i = 0; i < rest.length; i += CANDIDATE_COUNT) {
      const group = rest.slice(i, i + CANDIDATE_COUNT);
      if ((await this.pingAll(group)).length > 0) return false;
    }
    this.role = 'candidate';
    return true;
  }

  /** Pings other VMs; returns the names of those that answered. */
  private async pingAll(names: readonly string[]): Promise<readonly string[]> {
    const others = names.filter(name => name !== this.deps.vm);
    const answers = await Promise.all(others.map(name => this.ping(name)));
    return others.filter((unusedName, i) => answers[i]);
  }

  private async ping(name: string): Promise<boolean> {
    const now = this.deps.clock();
    const answer = await this.deps.peers.ping(name, PING_TIMEOUT_MS);
    if (answer.ok) {
      this.silences.delete(name);
      return true;
    }
    const before = this.silences.get(name);
    const silence = continueObservation(
      before,
      observedAt(now),
      MAX_PING_GAP_MS,
    );
    this.silences.set(name, silence);
    return false;
  }

  private isPresumedDead(name: string): boolean {
    if (name === this.deps.vm) return false;
    const silence = this.silences.get(name);
    return (
      silence !== undefined &&
      this.deps.clock() - silence.since > PRESUMED_DEAD_AFTER_MS
    );
  }

  /**
   * Writes the table, and removes the registrations of VMs whose entries
   * expired from it.
   */
  private async write(
    table: object,
    version: number,
    {expired, answering}: TableBasis,
  ): Promise<void> {
    const {vms} = this.deps.view().rows;
    const removed = expired.filter(name => vms.has(name));
    const expected = new Map([[SHARES_KEY, version]]);
    for (const name of removed) {
      expected.set(vmKey(name), vms.get(name)?.version ?? 0);
    }
    const result = await this.deps.transact({
      expected,
      puts: new Map([[SHARES_KEY, JSON.stringify(table)]]),
      removals: removed.map(vmKey),
    });
    this.deps.log.info(
      {
        event: 'shares.written',
        table,
        answering,
        result: result.ok ? 'done' : result.err,
      },
      'tried to divide the rates among the VMs',
    );
  }
}
