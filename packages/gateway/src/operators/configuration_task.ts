import {Task, sleep} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {
  ConfigurationSource,
  OperatorState,
} from '../ports/configuration_source.js';
import type {PeerSet} from '../peers/peer_set.js';

/**
 * Reserved within the time to apply a change: to notice that a watch is overdue,
 * as its connection may have gone silent, and to read the state anew.
 */
const WATCH_RECOVERY_MS = 2_100;
/** Limits the calls to the store if changes must apply very soon. */
const MIN_WATCH_MS = 500;
const FIRST_RETRY_MS = 200;
const MAX_RETRY_MS = 1_000;
const PEER_TIMEOUT_MS = 500;
const PEER_COUNT = 2;

/** Messages that the configuration task handles. */
export type ConfigurationMessage =
  | {readonly kind: 'start'}
  /** The store or a peer sent a state, which may be an old one. */
  | {
      readonly kind: 'received';
      readonly state: OperatorState;
      readonly from: 'store' | 'peer';
    }
  | {readonly kind: 'stop'};

/** Collaborators of the configuration task. */
export interface ConfigurationDependencies {
  readonly source: ConfigurationSource;
  readonly peers: PeerSet;
  readonly clock: Clock;
  /** The time within which a change must be in force on this VM. */
  readonly applyWithinMs: number;
  /** Called when the store confirms which state is the newest. */
  readonly onConfirmed: () => void;
  readonly onApplied: (state: OperatorState) => void;
  readonly onStoreFailure: (call: string) => void;
  readonly log: Logger;
  readonly onFailed: (err: unknown) => void;
}

/**
 * Owns the newest state that operators put in force. Only a state with a higher
 * revision replaces it.
 */
export class ConfigurationTask extends Task<ConfigurationMessage> {
  private current: OperatorState | undefined;
  private phase: 'running' | 'stopped' = 'running';
  private storeState: 'answering' | 'failing' = 'answering';
  /** When the store last confirmed which state is the newest. */
  private confirmedAt: number | undefined;

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
      case 'stop':
        this.phase = 'stopped';
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
    const {source, clock, applyWithinMs} = this.deps;
    const watchMs = Math.max(MIN_WATCH_MS, applyWithinMs - WATCH_RECOVERY_MS);
    let retryMs = FIRST_RETRY_MS;
    let next: 'read' | 'watch' = 'read';
    let history: 'kept' | 'lost' = 'kept';
    while (this.phase === 'running') {
      const asked = next;
      const askedAt = clock();
      const result =
        asked === 'read' ? await source.read() : await source.next(watchMs);
      if (result.ok) {
        this.recordStoreAnswer();
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

  private recordStoreAnswer(): void {
    if (this.storeState === 'answering') return;
    this.storeState = 'answering';
    this.deps.log.info(
      {event: 'configuration.store-answers'},
      'the configuration store answers again',
    );
  }

  private recordLostHistory(now: number): void {
    this.deps.log.info(
      {
        event: 'configuration.history-lost',
        revision: this.current?.revision,
        unconfirmedMs: this.unconfirmedMs(now),
      },
      'the store lost the changes of the configuration; reading it again',
    );
  }

  private recordStoreFailure(detail: string, now: number): void {
    this.deps.onStoreFailure('configuration');
    if (this.storeState === 'failing') return;
    this.storeState = 'failing';
    this.deps.log.warn(
      {
        event: 'configuration.store-fails',
        detail,
        unconfirmedMs: this.unconfirmedMs(now),
      },
      'the configuration store does not answer',
    );
  }

  /** Asks peers for a state that is newer than the current one. */
  private async askPeers(): Promise<void> {
    const {peers, source} = this.deps;
    const revision = this.current?.revision ?? 0;
    await Promise.all(
      peers.sample(PEER_COUNT, undefined).map(async peer => {
        const answer = await peers.configuration(
          peer,
          revision,
          PEER_TIMEOUT_MS,
        );
        if (!answer.ok || !answer.value) return;
        const state = source.decode(answer.value.encoded);
        if (state) this.tell({kind: 'received', state, from: 'peer'});
      }),
    );
  }

  private confirm(now: number): void {
    this.confirmedAt = now;
    this.deps.onConfirmed();
  }

  /** The time since the store confirmed the state; undefined if it never did. */
  private unconfirmedMs(now: number): number | undefined {
    if (this.confirmedAt === undefined) return undefined;
    return Math.round(now - this.confirmedAt);
  }

  private applyIfNewer(state: OperatorState, from: 'store' | 'peer'): void {
    const before = this.current;
    if (before && state.revision <= before.revision) return;
    this.current = state;
    this.deps.log.info(
      {
        event: 'configuration.applied',
        from,
        revision: state.revision,
        version: state.configuration?.version,
        previousVersion: before?.configuration?.version,
        unconfirmedMs: this.unconfirmedMs(this.deps.clock()),
        routes: state.configuration?.routes.size,
        out: [...state.dataCentresOut],
      },
      "applied the operators' state",
    );
    this.deps.onApplied(state);
  }
}
