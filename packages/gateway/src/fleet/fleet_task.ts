import {counterOf, decideFollow, eraOf} from '@pistachiorill/core';
import type {
  RowTransaction,
  StoreWriteError,
  TableReadResult,
  TransactionResult,
  TransactionalStore,
} from '@pistachiorill/store';
import type {Result} from '@pistachiorill/core';
import {Task, settled, sleep} from '@pistachiorill/tasks';
import type {Clock, Reply} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {PeerSet} from '../peers/peer_set.js';
import {WaitingReplies} from '../peers/waiting_replies.js';
import type {WatcherChoice} from '../peers/watcher_choice.js';
import type {FleetMessage, ReadScope} from './fleet_message.js';
import {RowDecoder, isVmRow, vmKey} from './fleet_rows.js';
import type {VmRegistration} from './fleet_rows.js';
import {FleetState} from './fleet_state.js';
import type {FleetView} from './fleet_view.js';
import {registrationOf} from './registration.js';
import {relayRows} from './relayed_rows.js';
import type {RelayRequest, RelayedRows} from './relayed_rows.js';
import {StoreReader} from './store_reader.js';

/**
 * How long the store holds a request for changes. Each answer renews the
 * primary leases, so several must fit into the duration of a lease.
 */
const WATCH_TIMEOUT_MS = 3_000;
/** The pause after a watcher did not answer, or had no newer proof. */
const WATCHER_RETRY_MS = 150;
/**
 * VMs that start together register one after the other. After a registration,
 * a pause lets the next request return several further ones at once.
 */
const REGISTRATION_PAUSE_MS = 100;
/** Once the proof is this old, peers are asked for their rows and proof. */
const RELAY_PROOF_AGE_MS = 4_500;
const RELAY_TIMEOUT_MS = 300;
const RELAY_PEER_COUNT = 2;
/**
 * A VM that follows a watcher asks the store itself once its proof is this old.
 * A watcher's proof is a little older than a request to the store is held.
 */
const MAX_FOLLOWED_PROOF_AGE_MS = 3_600;

/** Collaborators of the fleet task. */
export interface FleetDependencies {
  readonly vm: string;
  /** Registers this process. */
  readonly entry: VmRegistration;
  readonly store: TransactionalStore;
  readonly peers: PeerSet;
  /** The watcher that this VM follows, if it does not watch the store itself. */
  readonly watcher: WatcherChoice;
  readonly clock: Clock;
  readonly onView: (view: FleetView) => void;
  readonly onStoreFailure: (call: string) => void;
  readonly log: Logger;
  readonly onFailed: (err: unknown) => void;
}

/** Owns the copy of the rows that all VMs share, and the proof of its age. */
export class FleetTask extends Task<FleetMessage> {
  private readonly state: FleetState;
  private phase: 'running' | 'leaving' = 'running';
  private registration: 'idle' | 'under-way' = 'idle';
  private readonly reader: StoreReader;
  private readonly waitingPeers = new WaitingReplies();

  constructor(private readonly deps: FleetDependencies) {
    super();
    this.reader = new StoreReader(deps);
    const decoder = new RowDecoder(key =>
      deps.log.warn({event: 'fleet.unreadable', key}, 'row ignored'),
    );
    this.state = new FleetState(deps, decoder);
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
        this.relay(message.request, message.reply);
        return;
      case 'clock-skipped':
        this.state.skipClock(message.skippedMs);
        this.publish('changed');
        return;
      case 'leave':
        this.phase = 'leaving';
        this.waitingPeers.release();
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
    const {copy} = this.state;
    let next: ReadScope = 'all';
    let history: 'kept' | 'lost' = 'kept';
    while (this.phase === 'running') {
      if ((await this.followWatcher()) === 'followed') continue;
      const isWatcher = this.deps.watcher.next() === undefined;
      const holdMs = isWatcher ? WATCH_TIMEOUT_MS : 0;
      const result = await this.reader.read(next, copy, holdMs);
      if (result.ok) {
        if (next === 'changes') history = 'kept';
        this.reader.answered(history);
        this.tell({kind: 'watched', scope: next, answer: result.value});
        next = 'changes';
        // The next request names the version that this answer sets.
        await settled();
        if (this.mayPause(result.value)) await sleep(REGISTRATION_PAUSE_MS);
        continue;
      }
      if (result.err.kind === 'history-lost') {
        this.deps.log.info(
          {
            event: 'store.history-lost',
            version: counterOf(copy.version),
            era: eraOf(copy.version),
          },
          'the store lost the changes since this version; reading all rows',
        );
        next = 'all';
        if (history === 'lost') await this.reader.pauseBeforeRetry();
        history = 'lost';
        continue;
      }
      this.reader.failed(result.err.detail);
      await this.askPeers();
      await this.reader.pauseBeforeRetry();
    }
  }

  /** A VM that has not joined does not pause: it waits for its own row. */
  private mayPause({rows, removed}: TableReadResult): boolean {
    const hasOnlyPuts = rows.length > 0 && removed.length === 0;
    const {joined} = this.state.view;
    return joined === 'joined' && hasOnlyPuts && rows.every(isVmRow);
  }

  private applyWatchedRows(scope: ReadScope, answer: TableReadResult): void {
    const hasChanges =
      scope === 'all' || answer.rows.length > 0 || answer.removed.length > 0;
    const hadProof = this.state.view.proof !== undefined;
    if (this.state.apply(scope, answer) === 'stale') return;
    this.publish(hasChanges || !hadProof ? 'changed' : 'same');
    this.join();
  }

  /** Publishes the view; its rows are only decoded if they changed. */
  private publish(rows: 'changed' | 'same'): void {
    const {state} = this;
    this.deps.onView(rows === 'changed' ? state.decode() : state.refresh());
    this.waitingPeers.release();
  }

  /** Registers this process; a primary change then asks it to stop first. */
  private join(): void {
    const transaction = registrationOf(this.deps, this.state.view.rows);
    if (!transaction) return;
    if (this.registration === 'under-way' || this.phase === 'leaving') return;
    this.registration = 'under-way';
    this.runInBackground(async () => {
      const result = await this.transact(transaction);
      this.registration = 'idle';
      this.deps.log.info(
        {event: 'fleet.join', result: result.ok ? 'done' : result.err},
        'tried to register this VM',
      );
    });
  }

  private async leave(): Promise<void> {
    const key = vmKey(this.deps.vm);
    const version = this.state.copy.get(key)?.version;
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
    const {copy} = this.state;
    this.state.updateStoreClock(answer);
    for (const [key, value] of puts) {
      copy.put({key, value, version: answer.version});
    }
    for (const key of removals) copy.remove(key);
    this.publish('changed');
  }

  /**
   * Answers a peer with the changes of the copy, as soon as there is a newer
   * proof than the peer's. A VM that has not joined has none: only its own
   * registration shows that the rows it read are not from an older state.
   */
  private relay(
    {after, provenTo, waitMs}: RelayRequest,
    reply: Reply<RelayedRows | undefined>,
  ): void {
    const answer = (): void => {
      const {copy, proof, storeClock, view} = this.state;
      const isUsable = proof !== undefined && view.joined === 'joined';
      reply.answer(
        isUsable
          ? relayRows(copy, after, proof, storeClock, this.deps.clock())
          : undefined,
      );
    };
    const isNewer = (this.state.proof?.asOfStoreMs ?? -Infinity) > provenTo;
    const isHeld = !isNewer && waitMs > 0 && this.phase === 'running';
    if (isHeld) this.waitingPeers.add(answer, waitMs);
    else answer();
  }

  /**
   * Receives changes through a watcher. Returns `ask-store` if this VM watches
   * the store itself, or if no watcher keeps its proof recent.
   */
  private async followWatcher(): Promise<'followed' | 'ask-store'> {
    const {watcher, clock} = this.deps;
    const name = watcher.next();
    if (name === undefined) return 'ask-store';
    const now = clock();
    const decision = decideFollow(
      {
        confirmedAt: now - this.state.proofAgeMs(now),
        maxAgeMs: MAX_FOLLOWED_PROOF_AGE_MS,
        askedStoreAt: this.reader.askedAt,
        storeFailures: this.reader.failures,
      },
      now,
    );
    if (decision.kind === 'ask-store') return 'ask-store';
    const {proof} = this.state;
    const outcome = await this.askPeer(name, decision.waitMs);
    await settled();
    // An answer without a newer proof, such as one from an older state of the
    // store, must not be followed by the next request at once.
    if (this.state.proof !== proof) return 'followed';
    if (outcome === 'no-answer') watcher.failed(name);
    await sleep(WATCHER_RETRY_MS);
    return 'followed';
  }

  /** Asks peers for their copies while the store does not answer. */
  private async askPeers(): Promise<void> {
    const {clock, peers} = this.deps;
    if (this.state.proofAgeMs(clock()) < RELAY_PROOF_AGE_MS) return;
    const names = peers.sample(RELAY_PEER_COUNT, undefined);
    await Promise.all(names.map(peer => this.askPeer(peer, 0)));
  }

  /** Asks a peer for changes of the rows; it may hold its answer. */
  private async askPeer(
    peer: string,
    waitMs: number,
  ): Promise<'answered' | 'no-answer'> {
    const {clock, peers} = this.deps;
    const sentAt = clock();
    const after = this.state.copy.version;
    const provenTo = this.state.proof?.asOfStoreMs ?? -1;
    const request = {after, provenTo, waitMs};
    const timeoutMs = waitMs + RELAY_TIMEOUT_MS;
    const answer = await peers.relay(peer, request, timeoutMs);
    if (!answer.ok || !answer.value) return 'no-answer';
    const receivedAt = clock();
    this.tell({kind: 'relayed', relayed: answer.value, sentAt, receivedAt});
    return 'answered';
  }

  /** Applies a peer's changes, unless this VM's own copy is newer. */
  private applyRelayedRows({
    relayed,
    sentAt,
    receivedAt,
  }: Extract<FleetMessage, {kind: 'relayed'}>): void {
    const {rows, removed, after} = relayed;
    this.state.applyRelayed(relayed, sentAt, receivedAt);
    const hasChanges = after === 0 || rows.length > 0 || removed.length > 0;
    this.publish(hasChanges ? 'changed' : 'same');
    this.join();
  }
}
