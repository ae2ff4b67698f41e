import {randomUUID} from 'node:crypto';
import {
  EMPTY_LEDGER,
  LENDER_DURATION_FACTOR,
  MAX_SHARE_LOAN_MS,
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
import type {LedgerAuditFields, LedgerStep} from './ledger_step.js';
import type {LedgerPeers} from './ledger_peers.js';
import type {QuotaTask} from './quota_task.js';
import {settleWrites} from './unsettled_writes.js';
import type {UnsettledWrite} from './unsettled_writes.js';

const POLL_MS = 1_000;
/** Used while another VM has reported a version that is not applied here. */
const BEHIND_POLL_MS = 200;
/** The delay after a conflict is random, so that VMs do not collide again. */
const RETRY_MIN_MS = 20;
const RETRY_JITTER_MS = 180;
/** Gives a VM time to restart and take over its share without a reclaim. */
const RECLAIM_AFTER_MS = 10_000;
/** How long loans made by the earlier process of this VM may be in use. */
const PREDECESSOR_WAIT_MS = MAX_SHARE_LOAN_MS * LENDER_DURATION_FACTOR;

/** Attempts to return the share when a stopping VM hits write conflicts. */
const MAX_LEAVE_ATTEMPTS = 5;

type WriteOutcome = 'written' | 'conflict' | 'unknown';
type ReturnOutcome = WriteOutcome | 'not-held' | 'lent';

/** Whether the shares of VMs that are down may be reclaimed. */
export type ReclaimMode = 'allowed' | 'forbidden';

/** Messages to the ledger task. */
export type LedgerMessage =
  | {readonly kind: 'poll'}
  /** Another VM has reported that this version exists. */
  | {readonly kind: 'version-reported'; readonly version: number}
  | {
      readonly kind: 'peers';
      /** The instances of the VMs that are down or have left. */
      readonly down: readonly string[];
      /** The applied ledger version by VM instance. */
      readonly appliedLedgers: ReadonlyMap<string, number>;
    }
  | {readonly kind: 'reclaim-mode'; readonly mode: ReclaimMode}
  | {readonly kind: 'lifecycle'; readonly lifecycle: Lifecycle}
  /** Returns the share before the VM stops; answered after the attempt. */
  | {readonly kind: 'leave'; readonly reply: Reply<void>};

/** Adds a change that took effect, or may have, to the audit trail. */
export type AuditLedgerChange = (
  change: LedgerAuditFields,
  operationId: string,
) => void;

/** The collaborators of the ledger task. */
export interface LedgerDependencies {
  readonly self: PeerRecord;
  /** The key of the ledger row. */
  readonly key: string;
  readonly table: TableService;
  readonly quota: QuotaTask;
  readonly peers: LedgerPeers;
  /** Called for each newly applied version, with the row that holds it. */
  readonly onApplied: (members: LedgerMembers, row: Row) => void;
  /** Whether this VM has running work that needs the share. */
  readonly activity: () => 'idle' | 'busy';
  readonly record: AuditLedgerChange;
  readonly random: Random;
  readonly clock: Clock;
  readonly log: Logger;
}

/** A limit on the used share until the outcome of a write is known. */
interface LoweredShare {
  readonly sharePpm: number;
  /** The ledger version on which the write was based. */
  readonly expected: number;
}

/**
 * Owns this VM's entry in the ledger, which divides each workspace's rate into
 * shares, one for each VM. Polls the row, applies new versions, balances the
 * share and reclaims the shares of VMs that are down.
 */
export class LedgerTask extends Task<LedgerMessage> {
  private readonly startedAt: number;
  private version = -1;
  private reportedVersion = 0;
  private membership: 'joined' | 'not-joined' = 'not-joined';
  private lowered: LoweredShare | undefined;
  private lifecycle: Lifecycle = 'serving';
  private holding: 'share' | 'nothing' = 'share';
  private reclaimMode: ReclaimMode = 'forbidden';
  /** When this VM first saw each instance down. */
  private downSince = new Map<string, number>();
  /** The ledger version that each instance has reported as applied. */
  private applied: ReadonlyMap<string, number> = new Map();
  private unsettled: readonly UnsettledWrite[] = [];
  /** The reclaims in progress, by the instance that loses its share. */
  private progress = new Map<string, ReclaimProgress>();
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly deps: LedgerDependencies) {
    super();
    this.startedAt = deps.clock();
  }

  /** Whether the last applied ledger has an entry for this VM. */
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
      case 'version-reported':
        this.reportedVersion = Math.max(this.reportedVersion, message.version);
        if (this.isBehind) this.schedule(await this.poll());
        return;
      case 'peers':
        this.updateDownPeers(message.down);
        this.applied = message.appliedLedgers;
        return;
      case 'reclaim-mode':
        this.reclaimMode = message.mode;
        return;
      case 'lifecycle':
        this.lifecycle = message.lifecycle;
        if (message.lifecycle === 'serving') this.setHolding('share');
        return;
      case 'leave':
        await this.leave();
        message.reply.answer();
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.deps.log.error({event: 'ledger.failed', err}, 'ledger task failed');
    this.schedule(POLL_MS);
  }

  /**
   * Reads and applies the row, then writes the next change, if any. Returns the
   * delay until the next poll in milliseconds.
   */
  private async poll(): Promise<number> {
    const {table, key, self} = this.deps;
    const read = await table.read(key);
    if (!read.ok) {
      await this.readFromPeer();
      return this.isBehind ? BEHIND_POLL_MS : POLL_MS;
    }
    const row: Row = read.value ?? {key, value: '', version: 0};
    const ledger = row.value === '' ? EMPTY_LEDGER : parseLedger(row.value);
    this.apply(ledger, row);
    if (this.lifecycle === 'draining' && this.deps.activity() === 'idle') {
      this.setHolding('nothing');
    }
    if (this.holding === 'nothing') {
      await this.returnShare(ledger, row.version);
      return POLL_MS;
    }
    let next = this.nextStep(ledger, row.version);
    if (next.ledger === ledger) {
      if (!this.lowered) return POLL_MS;
      // Writing a new version makes an earlier write without an answer fail if
      // it has not taken effect yet, so the share can be used in full again.
      next = {ledger: {...ledger}, change: undefined};
    }
    const before = shareOf(ledger, self.instance);
    const after = shareOf(next.ledger, self.instance);
    if (after < before) {
      // The excess must be out of use before another VM can claim it.
      const kept = await this.lowerShare(after, row.version);
      if (kept >= before) return POLL_MS;
      next = LEDGER_STEPS.balance(ledger, self.instance, kept);
    }
    const written = await this.write(next, row.version);
    if (written === 'written') return POLL_MS;
    return RETRY_MIN_MS + RETRY_JITTER_MS * this.deps.random.fraction();
  }

  private async write(
    {ledger, change}: LedgerStep,
    expected: number,
  ): Promise<WriteOutcome> {
    const {table, key, record} = this.deps;
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
    return 'unknown';
  }

  private get isBehind(): boolean {
    return this.reportedVersion > this.version;
  }

  /**
   * Fetches a reported version from a peer when the store cannot be read. A VM
   * that has not applied the version in force does not stay confirmed.
   */
  private async readFromPeer(): Promise<void> {
    if (!this.isBehind) return;
    const row = await this.deps.peers.fetchRow(this.version + 1);
    if (row && row.version > this.version) {
      this.apply(parseLedger(row.value), row);
    }
  }

  /** Lowers the used share; returns what remains, which covers the loans. */
  private async lowerShare(toPpm: number, expected: number): Promise<number> {
    const sharePpm = await ask<number>(reply =>
      this.deps.quota.tell({kind: 'lower-share', toPpm, reply}),
    );
    this.lowered = {sharePpm, expected};
    return sharePpm;
  }

  private apply(ledger: Ledger, row: Row): void {
    const {version} = row;
    if (version < this.version) return;
    const {self, quota, onApplied} = this.deps;
    // While the version is the one that a write without an answer expects, that
    // write can still take effect.
    if (this.lowered && version > this.lowered.expected) {
      this.lowered = undefined;
    }
    const settled = settleWrites(this.unsettled, ledger, version);
    this.unsettled = settled.left;
    for (const {change, operationId} of settled.audited) {
      this.deps.record(change, operationId);
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

  /** Returns the next change, or the unchanged ledger if there is none. */
  private nextStep(ledger: Ledger, version: number): LedgerStep {
    const {self, clock, log} = this.deps;
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
      // The same instance can rejoin, so its next reclaim starts from scratch.
      if (state === 'active') this.progress.delete(instance);
      if (instance === self.instance) {
        // If another VM reclaims this VM's share, the share is already out of
        // use and this VM leaves the entry to that reclaim.
        continue;
      }
      if (
        state === 'reclaiming' &&
        this.isReclaimComplete(ledger, version, instance)
      ) {
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

  private isReclaimComplete(
    ledger: Ledger,
    version: number,
    instance: string,
  ): boolean {
    const {clock} = this.deps;
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

  private updateDownPeers(down: readonly string[]): void {
    const now = this.deps.clock();
    this.downSince = new Map(
      down.map(instance => [instance, this.downSince.get(instance) ?? now]),
    );
  }

  private setHolding(holding: 'share' | 'nothing'): void {
    if (holding === this.holding) return;
    this.holding = holding;
    const use = holding === 'share' ? 'in-use' : 'ended';
    this.deps.quota.tell({kind: 'use', use});
  }

  /**
   * Tries to return the share once, and again only after a write conflict. A
   * share that is still lent is left for another VM to reclaim.
   */
  private async leave(): Promise<void> {
    const {table, key} = this.deps;
    this.setHolding('nothing');
    for (let attempt = 0; attempt < MAX_LEAVE_ATTEMPTS; attempt += 1) {
      const row = await table.read(key);
      if (!row.ok || !row.value) return;
      const {value, version} = row.value;
      const outcome = await this.returnShare(parseLedger(value), version);
      if (outcome !== 'conflict') return;
    }
  }

  /** Returns the share if none of it is lent. */
  private async returnShare(
    ledger: Ledger,
    version: number,
  ): Promise<ReturnOutcome> {
    const entry = entryOf(ledger, this.deps.self.instance);
    if (!entry || entry.state === 'reclaiming') return 'not-held';
    const {lowered} = this;
    const kept = await this.lowerShare(0, version);
    if (kept > 0) {
      // Nothing was written, so only an earlier write can still take effect,
      // and its limit applies.
      this.lowered = lowered;
      return 'lent';
    }
    return this.write(LEDGER_STEPS.returnShare(ledger, entry), version);
  }

  private schedule(delayMs: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.tell({kind: 'poll'}), delayMs);
  }
}
