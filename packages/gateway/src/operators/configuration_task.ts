import {
  counterOf,
  decideFollow,
  describeVersion,
  eraOf,
  fail,
} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import type {StoreReadError} from '@pistachiorill/store';
import {Task, settled, sleep} from '@pistachiorill/tasks';
import type {Reply} from '@pistachiorill/tasks';
import type {OperatorState} from '../ports/configuration_source.js';
import type {RelayedConfiguration} from '../peers/gateway_handlers.js';
import type {ConfigurationRequest} from '../peers/gateway_router.js';
import {WaitingReplies} from '../peers/waiting_replies.js';
import type {
  ConfigurationDependencies,
  ConfigurationMessage,
} from './configuration_message.js';
import {OperatorStates} from './operator_states.js';
import {relayConfiguration} from './relay_configuration.js';

/**
 * Reserved within the time to apply a change: to notice that a watch is overdue,
 * as its connection may have gone silent, and to read the state anew.
 */
const WATCH_RECOVERY_MS = 2_100;
/** Limits the calls to the store if changes must apply very soon. */
const MIN_WATCH_MS = 500;
/**
 * The further time that a VM needs that follows a watcher: it reads the store a
 * second time if its own connection has gone silent as well.
 */
const FOLLOWER_RECOVERY_MS = 1_200;
/** How much sooner a watcher's confirmation arrives than it is too old. */
const FOLLOWER_MARGIN_MS = 700;
/** Each VM watches the store itself if less time is left to hold a request. */
const MIN_FOLLOWED_WATCH_MS = 500;
/** A follower reads a longer state from the store, to spare watchers' links. */
const MAX_RELAYED_LENGTH = 65_536;
/** The pause after a watcher did not answer. */
const WATCHER_RETRY_MS = 150;
/** The state is read without a proof if the registration takes longer. */
const REGISTRATION_WAIT_MS = 1_500;
const REGISTRATION_CHECK_MS = 20;
const FIRST_RETRY_MS = 200;
const MAX_RETRY_MS = 1_000;
const PEER_TIMEOUT_MS = 500;
const PEER_COUNT = 2;

/**
 * Owns the state that operators put in force. Only a state with a higher revision
 * replaces it, and its configuration is never replaced by an older one.
 */
export class ConfigurationTask extends Task<ConfigurationMessage> {
  private readonly states = new OperatorStates();
  private decisionTimer: NodeJS.Timeout | undefined;
  private phase: 'running' | 'stopped' = 'running';
  private storeFailures = 0;
  private askedStoreAt = -Infinity;
  /** When the store last confirmed which state is the newest. */
  private confirmedAt: number | undefined;
  private readonly waitingPeers = new WaitingReplies();

  constructor(private readonly deps: ConfigurationDependencies) {
    super();
  }

  protected override handle(message: ConfigurationMessage): void {
    switch (message.kind) {
      case 'start':
        void this.keepRunning(() => this.follow());
        return;
      case 'received':
        this.applyIfNewer(message.state, message.from);
        if (message.from === 'store') this.confirm(this.deps.clock());
        return;
      case 'confirmed':
        this.confirm(message.at);
        return;
      case 'relay':
        this.relay(message.request, message.reply, this.deps.clock());
        return;
      case 'decide':
        this.decideAgain(this.deps.clock());
        return;
      case 'stop':
        this.phase = 'stopped';
        clearTimeout(this.decisionTimer);
        this.waitingPeers.release();
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.deps.onFailed(err);
  }

  /**
   * Receives each new state from the store; asks peers while the store does not
   * answer.
   */
  private async follow(): Promise<void> {
    const {source, clock} = this.deps;
    let retryMs = FIRST_RETRY_MS;
    let next: 'read' | 'watch' = 'read';
    let history: 'kept' | 'lost' = 'kept';
    await this.waitForRegistration();
    while (this.phase === 'running') {
      const follow = await this.followWatcher();
      if (follow === 'followed') continue;
      const asked = follow === 'ask-store' ? 'read' : next;
      const watchMs = this.watchMs();
      const askedAt = clock();
      this.askedStoreAt = askedAt;
      const result = this.rejectOlder(
        asked === 'read' ? await source.read() : await source.next(watchMs),
      );
      if (result.ok) {
        this.recordStoreAnswer();
        if (this.isUnsure(result.value)) await this.askPeers();
        this.tell({kind: 'received', state: result.value, from: 'store'});
        next = 'watch';
        // A read alone does not show that watches are answered again.
        if (asked === 'read') continue;
        retryMs = FIRST_RETRY_MS;
        history = 'kept';
        continue;
      }
      next = 'read';
      if (result.err.kind === 'history-lost') {
        this.recordLostHistory(clock());
        const isFirstLoss = history === 'kept';
        history = 'lost';
        if (isFirstLoss) continue;
      } else {
        this.recordStoreFailure(result.err.detail, clock());
        // The store may still answer on another connection.
        const isOverdue = clock() - askedAt >= watchMs;
        if (asked === 'watch' && isOverdue) continue;
        await this.askPeers();
      }
      await sleep(retryMs);
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
  }

  /**
   * Waits a short time for the registration of this process, by which a read
   * shows that it is not from an older state of the store.
   */
  private async waitForRegistration(): Promise<void> {
    const {clock, registeredAt} = this.deps;
    const until = clock() + REGISTRATION_WAIT_MS;
    while (registeredAt() === undefined && clock() < until) {
      await sleep(REGISTRATION_CHECK_MS);
    }
  }

  /**
   * Rejects a first state that is older than this process. A store that lost its
   * history may answer from an older state; a process that has just started has
   * no state to compare it with, and would accept a withdrawn key.
   */
  private rejectOlder(
    result: Result<OperatorState, StoreReadError>,
  ): Result<OperatorState, StoreReadError> {
    if (!result.ok || this.states.newest) return result;
    const {revision} = result.value;
    const registeredAt = this.deps.registeredAt() ?? 0;
    if (revision >= registeredAt) return result;
    const detail = `stale answer: version ${describeVersion(revision)}, registered at ${describeVersion(registeredAt)}`;
    return fail({kind: 'unavailable', detail});
  }

  /**
   * Whether a first state may be older than those of the peers. A store that went
   * back to an earlier copy lacks what the operators have not written again, and
   * a process that has just started has no state to compare it with.
   */
  private isUnsure({revision}: OperatorState): boolean {
    return this.states.newest === undefined && eraOf(revision) > 0;
  }

  private recordStoreAnswer(): void {
    if (this.storeFailures === 0) return;
    this.storeFailures = 0;
    this.deps.log.info(
      {event: 'configuration.store-answers'},
      'the configuration store answers again',
    );
  }

  private recordLostHistory(now: number): void {
    this.deps.log.info(
      {
        event: 'configuration.history-lost',
        ...revisionFields(this.states.newest),
        unconfirmedMs: this.unconfirmedMs(now),
      },
      'the store lost the changes of the configuration; reading it again',
    );
  }

  private recordStoreFailure(detail: string, now: number): void {
    this.deps.onStoreFailure('configuration');
    if (this.storeFailures++ > 0) return;
    this.deps.log.warn(
      {
        event: 'configuration.store-fails',
        detail,
        unconfirmedMs: this.unconfirmedMs(now),
      },
      'the configuration store does not answer',
    );
  }

  /** How long the store may hold the request of a VM that watches it. */
  private watchMs(): number {
    const ownWatchMs = this.deps.applyWithinMs - WATCH_RECOVERY_MS;
    return this.deps.watcher.isFleetWatched() && this.mayFollow()
      ? this.followedWatchMs()
      : Math.max(MIN_WATCH_MS, ownWatchMs);
  }

  private followedWatchMs(): number {
    const recoveryMs = WATCH_RECOVERY_MS + FOLLOWER_RECOVERY_MS;
    return this.deps.applyWithinMs - recoveryMs - FOLLOWER_MARGIN_MS;
  }

  /** Whether changes that arrive through a watcher are in force in time. */
  private mayFollow(): boolean {
    return this.followedWatchMs() >= MIN_FOLLOWED_WATCH_MS;
  }

  /**
   * Receives changes through a watcher. Returns `watch-store` if this VM watches
   * the store itself, and `ask-store` if it has to read the state once.
   */
  private async followWatcher(): Promise<
    'followed' | 'ask-store' | 'watch-store'
  > {
    const {watcher, clock} = this.deps;
    const isFollower = this.states.newest !== undefined && this.mayFollow();
    const name = isFollower ? watcher.next() : undefined;
    if (name === undefined) return 'watch-store';
    const decision = decideFollow(
      {
        confirmedAt: this.confirmedAt ?? -Infinity,
        maxAgeMs: this.watchMs() + FOLLOWER_MARGIN_MS,
        askedStoreAt: this.askedStoreAt,
        storeFailures: this.storeFailures,
      },
      clock(),
    );
    if (decision.kind === 'ask-store') return 'ask-store';
    const outcome = await this.askPeer(
      name,
      decision.waitMs,
      MAX_RELAYED_LENGTH,
    );
    if (outcome === 'no-answer') {
      watcher.failed(name);
      await sleep(WATCHER_RETRY_MS);
    }
    return outcome === 'too-long' ? 'ask-store' : 'followed';
  }

  /** Asks peers for a state that is newer than the current one. */
  private async askPeers(): Promise<void> {
    const names = this.deps.peers.sample(PEER_COUNT, undefined);
    await Promise.all(names.map(peer => this.askPeer(peer, 0)));
  }

  /**
   * Asks a peer for a newer state; it may hold its answer. One that is longer
   * than `maxLength` is announced but not sent.
   */
  private async askPeer(
    peer: string,
    waitMs: number,
    maxLength?: number,
  ): Promise<'answered' | 'too-long' | 'no-answer'> {
    const {peers, source, clock} = this.deps;
    const newerThan = this.states.newest?.revision ?? 0;
    const sentAt = clock();
    const answer = await peers.configuration(
      peer,
      {newerThan, waitMs, ...(maxLength === undefined ? {} : {maxLength})},
      waitMs + PEER_TIMEOUT_MS,
    );
    if (!answer.ok || !answer.value) return 'no-answer';
    const {encoded, earlier, revision, confirmedAgoMs, heldMs} = answer.value;
    if (encoded !== undefined) {
      const state = source.decode(encoded);
      if (!state) return 'no-answer';
      const before = earlier === undefined ? undefined : source.decode(earlier);
      if (before) this.tell({kind: 'received', state: before, from: 'peer'});
      this.tell({kind: 'received', state, from: 'peer'});
    } else if (revision > newerThan) {
      return 'too-long';
    }
    this.tell({kind: 'confirmed', at: sentAt + heldMs - confirmedAgoMs});
    await settled();
    return 'answered';
  }

  /** Answers a peer once there is a newer state or a newer confirmation. */
  private relay(
    request: ConfigurationRequest,
    reply: Reply<RelayedConfiguration | undefined>,
    receivedAt: number,
  ): void {
    const {newerThan, waitMs} = request;
    const answer = (): void => {
      const {states, confirmedAt} = this;
      const now = this.deps.clock();
      reply.answer(
        relayConfiguration(states, request, {confirmedAt, receivedAt, now}),
      );
    };
    const isNewer = (this.states.newest?.revision ?? 0) > newerThan;
    const isHeld = !isNewer && waitMs > 0 && this.phase === 'running';
    if (isHeld) this.waitingPeers.add(answer, waitMs);
    else answer();
  }

  private confirm(at: number): void {
    if (this.confirmedAt !== undefined && at <= this.confirmedAt) return;
    this.confirmedAt = at;
    this.deps.onConfirmed();
    this.waitingPeers.release();
  }

  /** The time since the store confirmed the state; undefined if it never did. */
  private unconfirmedMs(now: number): number | undefined {
    if (this.confirmedAt === undefined) return undefined;
    return Math.round(now - this.confirmedAt);
  }

  private applyIfNewer(state: OperatorState, from: 'store' | 'peer'): void {
    const now = this.deps.clock();
    const before = this.states.applied;
    if (this.states.receive(state, now) === 'known') return;
    this.apply(before, from, now);
  }

  /** Puts the whole newest state in force once the wait for it is over. */
  private decideAgain(now: number): void {
    const before = this.states.applied;
    this.states.decide(now);
    this.apply(before, 'wait', now);
  }

  private apply(
    before: OperatorState | undefined,
    from: 'store' | 'peer' | 'wait',
    now: number,
  ): void {
    const {newest, applied, decideAgainAt} = this.states;
    clearTimeout(this.decisionTimer);
    if (decideAgainAt !== undefined) {
      this.decisionTimer = setTimeout(
        () => this.tell({kind: 'decide'}),
        Math.ceil(decideAgainAt - now),
      );
    }
    if (!newest || !applied) return;
    const {configuration, dataCentresOut} = applied;
    this.deps.log.info(
      {
        event: 'configuration.applied',
        from,
        ...revisionFields(newest),
        version: configuration?.version,
        previousVersion: before?.configuration?.version,
        // Lower than `version` if the store went back to an earlier copy.
        storedVersion: newest.configuration?.version,
        unconfirmedMs: this.unconfirmedMs(now),
        routes: configuration?.routes.size,
        out: [...dataCentresOut],
      },
      "applied the operators' state",
    );
    this.deps.onApplied(applied);
  }
}

function revisionFields(state: OperatorState | undefined): object {
  if (!state) return {};
  const {revision} = state;
  return {revision: counterOf(revision), era: eraOf(revision)};
}
