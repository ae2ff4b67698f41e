import {
  UNKNOWN_STORE_CLOCK,
  fail,
  widenStoreClock,
  narrowStoreClock,
  earliestStoreTime,
  isRevoked,
  latestStoreTime,
} from '@pistachiorill/core';
import type {StoreClock, StoreProof} from '@pistachiorill/core';
import {TableCopy, describeStaleAnswer} from '@pistachiorill/store';
import type {
  RowTransaction,
  StoreReadError,
  StoreTiming,
  StoreWriteError,
  TableReadResult,
  TransactionResult,
  TransactionalStore,
} from '@pistachiorill/store';
import type {Result} from '@pistachiorill/core';
import {Task, sleep} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {PeerSet} from '../peers/peer_set.js';
import type {FleetMessage, ReadScope, RelayedRows} from './fleet_message.js';
import {SHARES_KEY, decodeRows, isVmRow, vmKey} from './fleet_rows.js';
import type {FleetRows, VmRegistration} from './fleet_rows.js';
import type {FleetView} from './fleet_view.js';

/**
 * How long the store holds a request for changes. Each answer renews the
 * primary leases, so several must fit into the duration of a lease.
 */
const WATCH_TIMEOUT_MS = 3_000;
/** First pause after a failed call; it doubles up to the maximum. */
const FIRST_RETRY_MS = 150;
const MAX_RETRY_MS = 1_000;
/**
 * VMs that start together register one after the other. After a registration,
 * a pause lets the next request return several further ones at once.
 */
const REGISTRATION_PAUSE_MS = 100;
/** Once the proof is this old, peers are asked for their rows and proof. */
const RELAY_PROOF_AGE_MS = 4_500;
const RELAY_TIMEOUT_MS = 300;
const RELAY_PEER_COUNT = 2;

/** Collaborators of the fleet task. */
export interface FleetDependencies {
  readonly vm: string;
  /** Registers this process. */
  readonly entry: VmRegistration;
  readonly store: TransactionalStore;
  readonly peers: PeerSet;
  readonly clock: Clock;
  readonly onView: (view: FleetView) => void;
  readonly onStoreFailure: (call: string) => void;
  readonly log: Logger;
  readonly onFailed: (err: unknown) => void;
}

/** Owns the copy of the rows that all VMs share, and the proof of its age. */
export class FleetTask extends Task<FleetMessage> {
  private readonly copy = new TableCopy();
  private proof: StoreProof | undefined;
  private storeClock: StoreClock = UNKNOWN_STORE_CLOCK;
  private phase: 'running' | 'leaving' = 'running';
  private registration: 'idle' | 'under-way' = 'idle';
  private retryMs = FIRST_RETRY_MS;
  private storeState: 'answering' | 'failing' = 'answering';
  private view: FleetView;

  constructor(private readonly deps: FleetDependencies) {
    super();
    this.view = this.currentView();
  }

  protected override handle(message: FleetMessage): void {
    switch (message.kind) {
      case 'start':
        void this.keepRunning(() => this.watchLoop());
        return;
      case 'watched':
        this.applyWatchedRows(message.scope, message.answer);
        return;
      case 'transact':
        this.runInBackground(async () =>
          message.reply.answer(await this.transact(message.transaction)),
        );
        return;
      case 'written':
        this.written(message.transaction, message.answer);
        return;
      case 'relayed':
        this.applyRelayedRows(message);
        return;
      case 'relay':
        message.reply.answer(this.relay());
        return;
      case 'clock-skipped':
        this.storeClock = widenStoreClock(this.storeClock, message.skippedMs);
        this.publish();
        return;
      case 'leave':
        this.phase = 'leaving';
        this.runInBackground(async () =>
          message.reply.answer(await this.leave()),
        );
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.deps.onFailed(err);
  }

  /** Receives the changes of the rows until this VM leaves the fleet. */
  private async watchLoop(): Promise<void> {
    let next: ReadScope = 'all';
    let history: 'kept' | 'lost' = 'kept';
    while (this.phase === 'running') {
      const result = await this.readStore(next);
      if (result.ok) {
        if (next === 'changes') history = 'kept';
        if (history === 'kept') this.retryMs = FIRST_RETRY_MS;
        this.recordStoreAnswer();
        this.tell({kind: 'watched', scope: next, answer: result.value});
        next = 'changes';
        // The next request names the version that this answer sets.
        await this.settled();
        if (this.mayPause(result.value)) await sleep(REGISTRATION_PAUSE_MS);
        continue;
      }
      if (result.err.kind === 'history-lost') {
        this.deps.log.info(
          {event: 'store.history-lost', version: this.copy.version},
          'the store lost the changes since this version; reading all rows',
        );
        next = 'all';
        if (history === 'lost') await this.pauseBeforeRetry();
        history = 'lost';
        continue;
      }
      this.recordStoreFailure(result.err.detail);
      await this.askPeers();
      await this.pauseBeforeRetry();
    }
  }

  private async pauseBeforeRetry(): Promise<void> {
    await sleep(this.retryMs);
    this.retryMs = Math.min(MAX_RETRY_MS, this.retryMs * 2);
  }

  /**
   * Reads the store; fails if the answer is older than this VM's copy. After a
   * failure the answer is not held, as the proof has aged meanwhile.
   */
  private async readStore(
    scope: ReadScope,
  ): Promise<Result<TableReadResult, StoreReadError>> {
    const {store} = this.deps;
    const waitMs = this.storeState === 'failing' ? 0 : WATCH_TIMEOUT_MS;
    const result =
      scope === 'all'
        ? await store.readAll()
        : await store.changes(this.copy.version, waitMs);
    if (!result.ok || result.value.version >= this.copy.version) return result;
    const detail = describeStaleAnswer(this.copy, result.value);
    return fail({kind: 'unavailable', detail});
  }

  /** A VM that has not joined does not pause: it waits for its own row. */
  private mayPause({rows, removed}: TableReadResult): boolean {
    const hasOnlyPuts = rows.length > 0 && removed.length === 0;
    return this.view.joined === 'joined' && hasOnlyPuts && rows.every(isVmRow);
  }

  /** Waits until the task has handled the messages sent so far. */
  private settled(): Promise<void> {
    return new Promise(resolve => {
      setImmediate(resolve);
    });
  }

  private recordStoreAnswer(): void {
    if (this.storeState === 'answering') return;
    this.storeState = 'answering';
    this.deps.log.info({event: 'store.answers'}, 'store answers again');
  }

  private recordStoreFailure(detail: string): void {
    this.deps.onStoreFailure('watch');
    if (this.storeState === 'failing') return;
    this.storeState = 'failing';
    this.deps.log.warn({event: 'store.fails', detail}, 'store does not answer');
  }

  private applyWatchedRows(scope: ReadScope, answer: TableReadResult): void {
    this.updateStoreClock(answer);
    const hasChanges =
      scope === 'all' || answer.rows.length > 0 || answer.removed.length > 0;
    const applied =
      scope === 'all' ? this.copy.replace(answer) : this.copy.update(answer);
    // A peer's copy arrived first and is newer.
    if (applied === 'stale') return;
    this.advanceProof(answer.storeMs);
    if (hasChanges || this.view.proof === undefined) this.publish();
    else this.publishProof();
    this.join();
  }

  private updateStoreClock({storeMs, sentAt, receivedAt}: StoreTiming): void {
    this.storeClock = narrowStoreClock(
      this.storeClock,
      storeMs,
      sentAt,
      receivedAt,
    );
  }

  private advanceProof(asOfStoreMs: number): void {
    if (this.proof && this.proof.asOfStoreMs >= asOfStoreMs) return;
    this.proof = {asOfStoreMs};
  }

  private currentView(): FleetView {
    const rows = decodeRows(this.copy.values(), key =>
      this.deps.log.warn({event: 'fleet.unreadable', key}, 'row ignored'),
    );
    return {
      rows,
      version: this.copy.version,
      proof: this.proof,
      storeClock: this.storeClock,
      joined: this.joinedState(rows),
    };
  }

  /**
   * A VM counts as joined once it has all rows up to its own registration. It
   * then has every primary change whose coordinator could not yet see that this
   * VM is registered.
   */
  private joinedState(rows: FleetRows): FleetView['joined'] {
    const {vm, entry} = this.deps;
    const own = rows.vms.get(vm);
    const isKnown =
      own?.value.incarnation === entry.incarnation &&
      own.version <= this.copy.version;
    const revoked = rows.shares && isRevoked(rows.shares.value, vm);
    return isKnown && !revoked ? 'joined' : 'not-joined';
  }

  private publish(): void {
    this.view = this.currentView();
    this.deps.onView(this.view);
  }

  /** Publishes a newer proof without decoding the rows, which are unchanged. */
  private publishProof(): void {
    const {proof, storeClock} = this;
    const {version} = this.copy;
    const joined = this.joinedState(this.view.rows);
    this.view = {...this.view, version, proof, storeClock, joined};
    this.deps.onView(this.view);
  }

  /** Registers this process; a primary change then asks it to stop first. */
  private join(): void {
    const {vm, entry, log} = this.deps;
    const {vms, shares} = this.view.rows;
    const own = vms.get(vm)?.value;
    const revoked = shares && isRevoked(shares.value, vm) ? shares : undefined;
    if (own?.incarnation === entry.incarnation && !revoked) return;
    if (this.registration === 'under-way' || this.phase === 'leaving') return;
    this.registration = 'under-way';
    const puts = new Map([[vmKey(vm), JSON.stringify(entry)]]);
    const expected = new Map<string, number>();
    if (revoked) {
      // A revoked share that was not given to other VMs yet is taken back.
      const ppm = revoked.value[vm]?.ppm ?? 0;
      expected.set(SHARES_KEY, revoked.version);
      puts.set(SHARES_KEY, JSON.stringify({...revoked.value, [vm]: {ppm}}));
    }
    void this.transact({expected, puts}).then(result => {
      this.registration = 'idle';
      log.info(
        {event: 'fleet.join', result: result.ok ? 'done' : result.err},
        'tried to register this VM',
      );
    });
  }

  private async leave(): Promise<void> {
    const key = vmKey(this.deps.vm);
    const version = this.copy.get(key)?.version;
    if (version === undefined) return;
    // Conditional, so that a late removal keeps the row of a newer process.
    await this.transact({
      expected: new Map([[key, version]]),
      puts: new Map(),
      removals: [key],
    });
  }

  private async transact(
    transaction: RowTransaction,
  ): Promise<Result<TransactionResult, StoreWriteError>> {
    const result = await this.deps.store.transact(transaction);
    if (result.ok) {
      this.tell({kind: 'written', transaction, answer: result.value});
    } else {
      this.deps.onStoreFailure('transact');
    }
    return result;
  }

  /**
   * Applies rows that this VM wrote. Other rows up to that version may be
   * missing from the copy, so neither its version nor its proof advances.
   */
  private written(
    {puts, removals = []}: RowTransaction,
    answer: TransactionResult,
  ): void {
    this.updateStoreClock(answer);
    for (const [key, value] of puts) {
      this.copy.put({key, value, version: answer.version});
    }
    for (const key of removals) this.copy.remove(key);
    this.publish();
  }

  /**
   * Returns the copy for a peer. A VM that has not joined has none: only its own
   * registration shows that the rows it read are not from an older state.
   */
  private relay(): RelayedRows | undefined {
    const now = this.deps.clock();
    if (!this.proof || this.view.joined === 'not-joined') return undefined;
    return {
      rows: this.copy.values(),
      version: this.copy.version,
      asOfStoreMs: this.proof.asOfStoreMs,
      earliestStoreMs: earliestStoreTime(this.storeClock, now),
      latestStoreMs: latestStoreTime(this.storeClock, now),
    };
  }

  /** Asks peers for their copies while the store does not answer. */
  private async askPeers(): Promise<void> {
    const {clock, peers} = this.deps;
    const now = clock();
    const age = this.proof
      ? latestStoreTime(this.storeClock, now) - this.proof.asOfStoreMs
      : Infinity;
    if (age < RELAY_PROOF_AGE_MS) return;
    await Promise.all(
      peers.sample(RELAY_PEER_COUNT, undefined).map(async peer => {
        const sentAt = clock();
        const answer = await peers.relay(peer, RELAY_TIMEOUT_MS);
        if (!answer.ok || !answer.value) return;
        const receivedAt = clock();
        this.tell({kind: 'relayed', relayed: answer.value, sentAt, receivedAt});
      }),
    );
  }

  /** Applies a peer's copy of the rows, unless this VM's own copy is newer. */
  private applyRelayedRows({
    relayed,
    sentAt,
    receivedAt,
  }: Extract<FleetMessage, {kind: 'relayed'}>): void {
    const {earliestStoreMs, latestStoreMs} = relayed;
    this.storeClock = {
      minOffset: Math.max(
        this.storeClock.minOffset,
        earliestStoreMs - receivedAt,
      ),
      maxOffset: Math.min(this.storeClock.maxOffset, latestStoreMs - sentAt),
    };
    if (this.copy.replace(relayed) === 'applied') {
      this.advanceProof(relayed.asOfStoreMs);
    }
    this.publish();
  }
}
