import {
  UNKNOWN_STORE_CLOCK,
  afterClockSkip,
  afterStoreAnswer,
  earliestStoreTime,
  isRevoked,
  latestStoreTime,
} from '@pistachiorill/core';
import type {StoreClock, StoreProof} from '@pistachiorill/core';
import type {
  RowTransaction,
  StoreTiming,
  StoreWriteError,
  TableAnswer,
  TableRow,
  TransactionAnswer,
  TransactionalStore,
} from '@pistachiorill/store';
import type {Result} from '@pistachiorill/core';
import {Task, sleep} from '@pistachiorill/tasks';
import type {Clock, Reply} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {PeerSet} from '../peers/peer_set.js';
import {SHARES_KEY, decodeRows, isVmRow, vmKey} from './fleet_rows.js';
import type {FleetRows, VmEntry} from './fleet_rows.js';
import type {FleetView} from './fleet_view.js';

/**
 * How long the store holds a request for changes. Each answer renews the right
 * to use primaries, so several fit into the time that the right lasts.
 */
const WATCH_MS = 3_000;
/** Pauses after a failed call; they grow up to the second figure. */
const FIRST_RETRY_MS = 150;
const MAX_RETRY_MS = 1_000;
/**
 * VMs that start together register one after the other. A pause after such news
 * takes in the next ones with one request.
 */
const REGISTRATION_PAUSE_MS = 100;
/** The age of the last proof from which on peers are asked for theirs. */
const RELAY_AFTER_MS = 4_500;
const RELAY_TIMEOUT_MS = 300;
const RELAY_PEERS = 2;

/** A VM's knowledge of the rows, as it passes it on to a peer. */
export interface RelayedRows {
  readonly rows: readonly TableRow[];
  readonly version: number;
  readonly asOfStoreMs: number;
  /** Bounds of the store's clock when the answer was made. */
  readonly earliestStoreMs: number;
  readonly latestStoreMs: number;
}

export type FleetMessage =
  | {readonly kind: 'start'}
  | {readonly kind: 'watched'; readonly answer: TableAnswer}
  | {
      readonly kind: 'transact';
      readonly transaction: RowTransaction;
      readonly reply: Reply<Result<TransactionAnswer, StoreWriteError>>;
    }
  | {
      readonly kind: 'written';
      readonly transaction: RowTransaction;
      readonly answer: TransactionAnswer;
    }
  | {
      readonly kind: 'relayed';
      readonly relayed: RelayedRows;
      readonly sentAt: number;
      readonly receivedAt: number;
    }
  | {
      readonly kind: 'relay';
      readonly reply: Reply<RelayedRows | undefined>;
    }
  | {readonly kind: 'clock-skipped'; readonly skippedMs: number}
  | {readonly kind: 'leave'; readonly reply: Reply<void>};

export interface FleetTools {
  readonly vm: string;
  readonly entry: VmEntry;
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
  private rows = new Map<string, TableRow>();
  private version = 0;
  private proof: StoreProof | undefined;
  private storeClock: StoreClock = UNKNOWN_STORE_CLOCK;
  private phase: 'running' | 'leaving' = 'running';
  private joining: 'idle' | 'under-way' = 'idle';
  private retryMs = FIRST_RETRY_MS;
  private storeState: 'answering' | 'failing' = 'answering';
  private view: FleetView;

  constructor(private readonly tools: FleetTools) {
    super();
    this.view = this.currentView();
  }

  protected override handle(message: FleetMessage): void {
    switch (message.kind) {
      case 'start':
        void this.watchLoop().catch(err => this.onFailure(err));
        return;
      case 'watched':
        this.watched(message.answer);
        return;
      case 'transact':
        void this.transact(message.transaction).then(message.reply.answer);
        return;
      case 'written':
        this.written(message.transaction, message.answer);
        return;
      case 'relayed':
        this.relayed(message);
        return;
      case 'relay':
        message.reply.answer(this.relay());
        return;
      case 'clock-skipped':
        this.storeClock = afterClockSkip(this.storeClock, message.skippedMs);
        this.publish();
        return;
      case 'leave':
        this.phase = 'leaving';
        void this.leave().then(message.reply.answer);
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.tools.onFailed(err);
  }

  /** Follows the table for as long as the VM runs. */
  private async watchLoop(): Promise<void> {
    const {store} = this.tools;
    let next: 'all' | 'changes' = 'all';
    while (this.phase === 'running') {
      const result =
        next === 'all'
          ? await store.readAll()
          : await store.changes(this.version, WATCH_MS);
      if (result.ok) {
        this.storeAnswers();
        if (next === 'all') this.rows = new Map();
        next = 'changes';
        this.tell({kind: 'watched', answer: result.value});
        // The next request must name the version that the answer brought.
        await this.settled();
        if (this.mayPause(result.value)) await sleep(REGISTRATION_PAUSE_MS);
        continue;
      }
      if (result.err.kind === 'history-lost') {
        this.tools.log.info(
          {event: 'store.history-lost', version: this.version},
          'reading all rows anew',
        );
        next = 'all';
        continue;
      }
      this.storeFails(result.err.detail);
      await this.askPeers();
      await sleep(this.retryMs);
      this.retryMs = Math.min(MAX_RETRY_MS, this.retryMs * 2);
    }
  }

  /** A VM that has not joined waits for its own registration. */
  private mayPause({rows, removed}: TableAnswer): boolean {
    const isVms = rows.length > 0 && removed.length === 0;
    return this.view.joined === 'joined' && isVms && rows.every(isVmRow);
  }

  private settled(): Promise<void> {
    return new Promise(resolve => {
      setImmediate(resolve);
    });
  }

  private storeAnswers(): void {
    this.retryMs = FIRST_RETRY_MS;
    if (this.storeState === 'answering') return;
    this.storeState = 'answering';
    this.tools.log.info({event: 'store.answers'}, 'store answers again');
  }

  private storeFails(detail: string): void {
    this.tools.onStoreFailure('watch');
    if (this.storeState === 'failing') return;
    this.storeState = 'failing';
    this.tools.log.warn(
      {event: 'store.fails', detail},
      'store does not answer',
    );
  }

  private watched(answer: TableAnswer): void {
    this.timed(answer);
    const isNews = answer.rows.length > 0 || answer.removed.length > 0;
    for (const row of answer.rows) this.rows.set(row.key, row);
    for (const key of answer.removed) this.rows.delete(key);
    this.version = Math.max(this.version, answer.version);
    this.prove(answer.storeMs);
    if (isNews || this.view.proof === undefined) this.publish();
    else this.publishProof();
    this.join();
  }

  private timed({storeMs, sentAt, receivedAt}: StoreTiming): void {
    this.storeClock = afterStoreAnswer(
      this.storeClock,
      storeMs,
      sentAt,
      receivedAt,
    );
  }

  private prove(asOfStoreMs: number): void {
    if (this.proof && this.proof.asOfStoreMs >= asOfStoreMs) return;
    this.proof = {asOfStoreMs};
  }

  private currentView(): FleetView {
    const rows = decodeRows(this.rows.values(), key =>
      this.tools.log.warn({event: 'fleet.unreadable', key}, 'row ignored'),
    );
    return {
      rows,
      version: this.version,
      proof: this.proof,
      storeClock: this.storeClock,
      joined: this.joinedState(rows),
    };
  }

  /**
   * A VM counts as joined once it knows all rows up to its own registration:
   * it then knows every change whose author could not know of it.
   */
  private joinedState(rows: FleetRows): FleetView['joined'] {
    const {vm, entry} = this.tools;
    const own = rows.vms.get(vm);
    const isKnown =
      own?.value.incarnation === entry.incarnation &&
      own.version <= this.version;
    const revoked = rows.shares && isRevoked(rows.shares.value, vm);
    return isKnown && !revoked ? 'joined' : 'not-joined';
  }

  private publish(): void {
    this.view = this.currentView();
    this.tools.onView(this.view);
  }

  /** Publishes a newer proof for rows that are as they were. */
  private publishProof(): void {
    const {version, proof, storeClock} = this;
    const joined = this.joinedState(this.view.rows);
    this.view = {...this.view, version, proof, storeClock, joined};
    this.tools.onView(this.view);
  }

  /** Registers this process, so that others ask it before a change. */
  private join(): void {
    const {vm, entry, log} = this.tools;
    const {vms, shares} = this.view.rows;
    const own = vms.get(vm)?.value;
    const revoked = shares && isRevoked(shares.value, vm) ? shares : undefined;
    if (own?.incarnation === entry.incarnation && !revoked) return;
    if (this.joining === 'under-way' || this.phase === 'leaving') return;
    this.joining = 'under-way';
    const puts = new Map([[vmKey(vm), JSON.stringify(entry)]]);
    const expected = new Map<string, number>();
    if (revoked) {
      // A VM that is back takes the share again that nobody else has yet.
      const ppm = revoked.value[vm]?.ppm ?? 0;
      expected.set(SHARES_KEY, revoked.version);
      puts.set(SHARES_KEY, JSON.stringify({...revoked.value, [vm]: {ppm}}));
    }
    void this.transact({expected, puts}).then(result => {
      this.joining = 'idle';
      log.info(
        {event: 'fleet.join', result: result.ok ? 'done' : result.err},
        'registered this VM',
      );
    });
  }

  private async leave(): Promise<void> {
    const key = vmKey(this.tools.vm);
    const version = this.rows.get(key)?.version;
    if (version === undefined) return;
    // Under a condition, so that a late one does not remove a later process.
    await this.transact({
      expected: new Map([[key, version]]),
      puts: new Map(),
      removals: [key],
    });
  }

  private async transact(
    transaction: RowTransaction,
  ): Promise<Result<TransactionAnswer, StoreWriteError>> {
    const result = await this.tools.store.transact(transaction);
    if (result.ok) {
      this.tell({kind: 'written', transaction, answer: result.value});
    } else {
      this.tools.onStoreFailure('transact');
    }
    return result;
  }

  /**
   * Takes in rows that this VM wrote. It knows nothing of other rows up to
   * that version, so neither the version nor the proof moves.
   */
  private written(
    {puts, removals = []}: RowTransaction,
    answer: TransactionAnswer,
  ): void {
    this.timed(answer);
    for (const [key, value] of puts) {
      const known = this.rows.get(key);
      if (known && known.version >= answer.version) continue;
      this.rows.set(key, {key, value, version: answer.version});
    }
    for (const key of removals) this.rows.delete(key);
    this.publish();
  }

  private relay(): RelayedRows | undefined {
    const now = this.tools.clock();
    if (!this.proof) return undefined;
    return {
      rows: [...this.rows.values()],
      version: this.version,
      asOfStoreMs: this.proof.asOfStoreMs,
      earliestStoreMs: earliestStoreTime(this.storeClock, now),
      latestStoreMs: latestStoreTime(this.storeClock, now),
    };
  }

  /** Asks peers for what they know, while the store does not answer. */
  private async askPeers(): Promise<void> {
    const {clock, peers} = this.tools;
    const now = clock();
    const age = this.proof
      ? latestStoreTime(this.storeClock, now) - this.proof.asOfStoreMs
      : Infinity;
    if (age < RELAY_AFTER_MS) return;
    await Promise.all(
      peers.sample(RELAY_PEERS, undefined).map(async peer => {
        const sentAt = clock();
        const answer = await peers.relay(peer, RELAY_TIMEOUT_MS);
        if (!answer.ok || !answer.value) return;
        const receivedAt = clock();
        this.tell({kind: 'relayed', relayed: answer.value, sentAt, receivedAt});
      }),
    );
  }

  private relayed({
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
    if (relayed.version > this.version) {
      this.rows = new Map(relayed.rows.map(row => [row.key, row]));
      this.version = relayed.version;
    }
    if (relayed.version >= this.version) this.prove(relayed.asOfStoreMs);
    this.publish();
  }
}
