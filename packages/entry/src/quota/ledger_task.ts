import {randomUUID} from 'node:crypto';
import {
  EMPTY_LEDGER,
  LENDER_MARGIN,
  SHARE_LOAN_MS,
  entryOf,
  ledgerMembers,
  mayFinishReclaim,
  observeReclaim,
  parseLedger,
  predecessorsOf,
  shareOf,
} from '@pistachiorill/core';
import type {
  Ledger,
  LedgerMembers,
  Lifecycle,
  PeerRecord,
  Random,
  ReclaimProgress,
} from '@pistachiorill/core';
import type {Row, TableService} from '@pistachiorill/store';
import {Task, ask} from '@pistachiorill/tasks';
import type {Clock, Reply} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import {LEDGER_STEPS} from './ledger_step.js';
import type {LedgerChange, LedgerStep} from './ledger_step.js';
import type {LedgerPeers} from './ledger_peers.js';
import type {QuotaTask} from './quota_task.js';
import {settleWrites} from './unsettled_writes.js';
import type {UnsettledWrite} from './unsettled_writes.js';

const POLL_MS = 1_000;
/** While a version is known that could not be read. */
const BEHIND_POLL_MS = 200;
/** After a lost race; random, so that the VMs do not race again. */
const RETRY_MIN_MS = 20;
const RETRY_SPREAD_MS = 180;
/** A VM that restarts quickly takes its share over without a reclaim. */
const RECLAIM_AFTER_MS = 10_000;
/** The time for which loans of a process that has ended may be in use. */
const PREDECESSOR_WAIT_MS = SHARE_LOAN_MS * LENDER_MARGIN;

/** Races with other VMs that a VM which stops may lose before it gives up. */
const LEAVE_ATTEMPTS = 5;

type WriteOutcome = 'written' | 'conflict' | 'not-known';
type GiveBackOutcome = WriteOutcome | 'not-held' | 'lent';

/** Whether shares of VMs that are down may be taken back. */
export type ReclaimMode = 'allowed' | 'forbidden';

export type LedgerMessage =
  | {readonly kind: 'poll'}
  /** Some VM is known to know this version. */
  | {readonly kind: 'heard'; readonly version: number}
  | {
      readonly kind: 'peers';
      /** The incarnations that are down. */
      readonly down: readonly string[];
      readonly appliedLedgers: ReadonlyMap<string, number>;
    }
  | {readonly kind: 'reclaim-mode'; readonly mode: ReclaimMode}
  | {readonly kind: 'lifecycle'; readonly lifecycle: Lifecycle}
  | {readonly kind: 'leave'; readonly reply: Reply<void>};

/** Adds a change that took effect to the audit trail. */
export type RecordLedgerChange = (
  change: LedgerChange,
  operationId: string,
) => void;

/** The collaborators of the ledger task. */
export interface LedgerTools {
  readonly self: PeerRecord;
  readonly key: string;
  readonly table: TableService;
  readonly quota: QuotaTask;
  readonly peers: LedgerPeers;
  /** Called with each higher version, and the row that contains it. */
  readonly onApplied: (members: LedgerMembers, row: Row) => void;
  /** Whether work is under way that needs the share. */
  readonly activity: () => 'idle' | 'busy';
  readonly record: RecordLedgerChange;
  readonly random: Random;
  readonly clock: Clock;
  readonly log: Logger;
}

/** A share that this VM no longer uses, until the write has an outcome. */
interface LoweredShare {
  readonly sharePpm: number;
  readonly expected: number;
}

/** Owns this VM's entry in the ledger of shares. */
export class LedgerTask extends Task<LedgerMessage> {
  private readonly startedAt: number;
  private version = -1;
  private heardVersion = 0;
  private membership: 'joined' | 'not-joined' = 'not-joined';
  private lowered: LoweredShare | undefined;
  private lifecycle: Lifecycle = 'serving';
  private holding: 'share' | 'nothing' = 'share';
  private reclaimMode: ReclaimMode = 'forbidden';
  private downSince = new Map<string, number>();
  private applied: ReadonlyMap<string, number> = new Map();
  private unsettled: readonly UnsettledWrite[] = [];
  private progress = new Map<string, ReclaimProgress>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly tools: LedgerTools) {
    super();
    this.startedAt = tools.clock();
  }

  /** Whether the ledger was read with an entry of this VM. */
  get state(): 'joined' | 'not-joined' {
    return this.membership;
  }

  override async stop(): Promise<void> {
    await super.stop();
    clearTimeout(this.timer);
  }

  protected override async handle(message: LedgerMessage): Promise<void> {
    switch (message.kind) {
      case 'poll':
        this.schedule(await this.poll());
        return;
      case 'heard':
        this.heardVersion = Math.max(this.heardVersion, message.version);
        if (this.isBehind) this.schedule(await this.poll());
        return;
      case 'peers':
        this.peersChanged(message.down);
        this.applied = message.appliedLedgers;
        return;
      case 'reclaim-mode':
        this.reclaimMode = message.mode;
        return;
      case 'lifecycle':
        this.lifecycle = message.lifecycle;
        if (message.lifecycle === 'serving') this.hold('share');
        return;
      case 'leave':
        await this.leave();
        message.reply.answer();
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.tools.log.error({event: 'ledger.failed', err}, 'ledger failed');
    this.schedule(POLL_MS);
  }

  /** Reads the row, applies it, and writes the change that is due, if any. */
  private async poll(): Promise<number> {
    const {table, key, self} = this.tools;
    const read = await table.read(key);
    if (!read.ok) {
      await this.readFromPeer();
      return this.isBehind ? BEHIND_POLL_MS : POLL_MS;
    }
    const row: Row = read.value ?? {key, value: '', version: 0};
    const ledger = row.value === '' ? EMPTY_LEDGER : parseLedger(row.value);
    this.apply(ledger, row);
    if (this.lifecycle === 'draining' && this.tools.activity() === 'idle') {
      this.hold('nothing');
    }
    if (this.holding === 'nothing') {
      await this.giveBack(ledger, row.version);
      return POLL_MS;
    }
    let next = this.nextStep(ledger, row.version);
    if (next.ledger === ledger) {
      if (!this.lowered) return POLL_MS;
      // A new version settles a write without an answer, so that the share
      // that it would have taken can be used again.
      next = {ledger: {...ledger}, change: undefined};
    }
    const before = shareOf(ledger, self.instance);
    const after = shareOf(next.ledger, self.instance);
    if (after < before) {
      // The excess must be out of use before another VM can take it.
      const kept = await this.lower(after, row.version);
      if (kept >= before) return POLL_MS;
      next = LEDGER_STEPS.balance(ledger, self.instance, kept);
    }
    const written = await this.write(next, row.version);
    if (written === 'written') return POLL_MS;
    return RETRY_MIN_MS + RETRY_SPREAD_MS * this.tools.random.fraction();
  }

  private async write(
    {ledger, change}: LedgerStep,
    expected: number,
  ): Promise<WriteOutcome> {
    const {table, key, record} = this.tools;
    const operationId = randomUUID();
    const next = {...ledger, operationId};
    const written = await table.write(key, JSON.stringify(next), expected);
    if (written.ok) {
      this.apply(next, written.value);
      if (change) record(change, operationId);
      return 'written';
    }
    if (written.err.kind === 'conflict') return 'conflict';
    if (change) {
      this.unsettled = [...this.unsettled, {operationId, expected, change}];
    }
    return 'not-known';
  }

  private get isBehind(): boolean {
    return this.heardVersion > this.version;
  }

  /** Without the content of the version in force a VM is not confirmed. */
  private async readFromPeer(): Promise<void> {
    if (!this.isBehind) return;
    const row = await this.tools.peers.newer(this.version + 1);
    if (row && row.version > this.version) {
      this.apply(parseLedger(row.value), row);
    }
  }

  private async lower(toPpm: number, expected: number): Promise<number> {
    const sharePpm = await ask<number>(reply =>
      this.tools.quota.tell({kind: 'lower-share', toPpm, reply}),
    );
    this.lowered = {sharePpm, expected};
    return sharePpm;
  }

  private apply(ledger: Ledger, row: Row): void {
    const {version} = row;
    if (version < this.version) return;
    const {self, quota, onApplied} = this.tools;
    // A write without an answer can still take effect on the same version.
    if (this.lowered && version > this.lowered.expected) {
      this.lowered = undefined;
    }
    const settled = settleWrites(this.unsettled, ledger, version);
    this.unsettled = settled.left;
    for (const {change, operationId} of settled.audited) {
      this.tools.record(change, operationId);
    }
    const entry = entryOf(ledger, self.instance);
    this.membership = entry ? 'joined' : 'not-joined';
    const share = shareOf(ledger, self.instance);
    const sharePpm = Math.min(share, this.lowered?.sharePpm ?? share);
    quota.tell({kind: 'share', sharePpm});
    if (version === this.version) return;
    this.version = version;
    onApplied(ledgerMembers(ledger, version), row);
  }

  /** The ledger that this VM wants, or the same if nothing is to be done. */
  private nextStep(ledger: Ledger, version: number): LedgerStep {
    const {self, clock, log} = this.tools;
    const now = clock();
    if (!entryOf(ledger, self.instance)) return LEDGER_STEPS.join(ledger, self);
    if (now - this.startedAt >= PREDECESSOR_WAIT_MS) {
      const [former] = predecessorsOf(ledger, self);
      if (former) return LEDGER_STEPS.takeOver(ledger, former);
    }
    for (const instance of this.progress.keys()) {
      if (!entryOf(ledger, instance)) this.progress.delete(instance);
    }
    for (const entry of ledger.entries) {
      const {instance, vm, state} = entry;
      // The same run can join again, and its next reclaim starts anew.
      if (state === 'active') this.progress.delete(instance);
      if (instance === self.instance) {
        // Another VM takes this one for dead. The share is not used any more.
        continue;
      }
      if (state === 'reclaiming' && this.finishes(ledger, version, instance)) {
        log.info({event: 'ledger.reclaimed', vm, instance}, 'share reclaimed');
        return LEDGER_STEPS.finishReclaim(ledger, entry);
      }
      const since = this.downSince.get(instance) ?? Infinity;
      if (
        state === 'active' &&
        this.reclaimMode === 'allowed' &&
        now - since >= RECLAIM_AFTER_MS
      ) {
        log.info({event: 'ledger.reclaiming', vm, instance}, 'reclaim started');
        return LEDGER_STEPS.startReclaim(ledger, entry);
      }
    }
    return LEDGER_STEPS.balance(ledger, self.instance, 0);
  }

  private finishes(ledger: Ledger, version: number, instance: string): boolean {
    const {clock} = this.tools;
    const present = ledgerMembers(ledger, version);
    const progress = observeReclaim(
      this.progress.get(instance) ?? {
        instance,
        members: present,
        majorityAt: undefined,
      },
      present,
      this.applied,
      clock(),
    );
    this.progress.set(instance, progress);
    return mayFinishReclaim(progress, clock());
  }

  private peersChanged(down: readonly string[]): void {
    const now = this.tools.clock();
    this.downSince = new Map(
      down.map(instance => [instance, this.downSince.get(instance) ?? now]),
    );
  }

  private hold(holding: 'share' | 'nothing'): void {
    if (holding === this.holding) return;
    this.holding = holding;
    const use = holding === 'share' ? 'in-use' : 'ended';
    this.tools.quota.tell({kind: 'use', use});
  }

  /** Returns the share once. What is lent then is left to a later reclaim. */
  private async leave(): Promise<void> {
    const {table, key} = this.tools;
    this.hold('nothing');
    for (let attempt = 0; attempt < LEAVE_ATTEMPTS; attempt += 1) {
      const row = await table.read(key);
      if (!row.ok || !row.value) return;
      const {value, version} = row.value;
      const outcome = await this.giveBack(parseLedger(value), version);
      if (outcome !== 'conflict') return;
    }
  }

  /** Returns the share as soon as none of it is lent any more. */
  private async giveBack(
    ledger: Ledger,
    version: number,
  ): Promise<GiveBackOutcome> {
    const entry = entryOf(ledger, this.tools.self.instance);
    if (!entry || entry.state === 'reclaiming') return 'not-held';
    const {lowered} = this;
    const kept = await this.lower(0, version);
    if (kept > 0) {
      // Nothing is written, so only an earlier write can still take effect.
      this.lowered = lowered;
      return 'lent';
    }
    return this.write(LEDGER_STEPS.giveBack(ledger, entry), version);
  }

  private schedule(delayMs: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.tell({kind: 'poll'}), delayMs);
  }
}
