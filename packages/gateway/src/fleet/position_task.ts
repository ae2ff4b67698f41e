import type {PositionSample, PositionSamples} from '@pistachiorill/core';
import {Task, ask} from '@pistachiorill/tasks';
import type {Clock, Reply} from '@pistachiorill/tasks';
import type {DatabaseTask} from '../database/database_task.js';
import type {PeerSet} from '../peers/peer_set.js';
import type {WatcherChoice} from '../peers/watcher_choice.js';

/** How often a watcher asks each primary for the end of its log. */
const SAMPLE_INTERVAL_MS = 400;
/** A watcher samples the primaries for this long after the last request. */
const SAMPLE_DURATION_MS = 3_000;
/** How often a VM asks its watcher at most. */
const ASK_INTERVAL_MS = 250;
const ASK_TIMEOUT_MS = 100;
/** Older samples are of no use to reads. */
const MAX_SAMPLE_AGE_MS = 3_000;
/** Samples that are sent to a peer are at least this far apart. */
const RELAYED_SPACING_MS = 500;
/** The groups' tasks are asked for their samples at most this often. */
const COLLECT_INTERVAL_MS = 150;

/** A sampled log position of a primary, as it is sent to a peer. */
export interface RelayedSample {
  readonly ageMs: number;
  readonly end: PositionSample['end'];
}

/** The samples of all groups that a VM has, by group. */
export type RelayedPositions = Readonly<
  Record<string, readonly RelayedSample[]>
>;

type CollectedSamples = ReadonlyMap<string, PositionSamples>;

/** Messages that the position task handles. */
export type PositionMessage =
  /** A read of this VM needs a recent position of the group's primary. */
  | {readonly kind: 'needed'; readonly group: string}
  /** A peer asks for the positions that this VM knows. */
  | {readonly kind: 'relay'; readonly reply: Reply<RelayedPositions>}
  /** The groups' tasks answered. */
  | {readonly kind: 'collected'; readonly samples: CollectedSamples}
  /** The watcher answered, or failed to. */
  | {
      readonly kind: 'received';
      readonly positions: RelayedPositions;
      readonly sentAt: number;
    }
  | {readonly kind: 'tick'}
  | {readonly kind: 'stop'};

/** Collaborators of the position task. */
export interface PositionDependencies {
  readonly groups: () => readonly string[];
  readonly database: (group: string) => DatabaseTask | undefined;
  readonly peers: PeerSet;
  readonly watcher: WatcherChoice;
  readonly clock: Clock;
  readonly onFailed: (err: unknown) => void;
}

/**
 * Provides recent log positions of the primaries, without which reads cannot go
 * to replicas. In a large fleet each VM sends few statements to each primary, so
 * the watchers of its data centre sample the primaries for all.
 */
export class PositionTask extends Task<PositionMessage> {
  private activeUntil = -Infinity;
  private askedAt = -Infinity;
  private request: 'idle' | 'under-way' = 'idle';
  private timer: NodeJS.Timeout | undefined;
  private collected: CollectedSamples = new Map();
  private collectedAt = -Infinity;
  /** Peers that wait for the samples that are being collected. */
  private waiting: Array<Reply<RelayedPositions>> = [];

  constructor(private readonly deps: PositionDependencies) {
    super();
  }

  protected override handle(message: PositionMessage): void {
    const now = this.deps.clock();
    switch (message.kind) {
      case 'needed':
        this.need(message.group, now);
        return;
      case 'relay':
        this.activate(now);
        this.relay(message.reply, now);
        return;
      case 'collected':
        this.collected = message.samples;
        this.collectedAt = now;
        for (const reply of this.waiting) reply.answer(this.positionsAt(now));
        this.waiting = [];
        return;
      case 'received':
        this.request = 'idle';
        this.distribute(message.positions, message.sentAt);
        return;
      case 'tick':
        this.tick(now);
        return;
      case 'stop':
        this.activeUntil = -Infinity;
        clearTimeout(this.timer);
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.deps.onFailed(err);
  }

  private need(group: string, now: number): void {
    const watcher = this.deps.watcher.next();
    if (watcher === undefined) {
      this.activate(now);
      this.tellGroup(group, []);
      return;
    }
    if (this.request === 'under-way') return;
    if (now - this.askedAt < ASK_INTERVAL_MS) {
      this.tellGroup(group, []);
      return;
    }
    this.askedAt = now;
    this.request = 'under-way';
    this.runInBackground(() => this.askWatcher(watcher, now));
  }

  private async askWatcher(watcher: string, sentAt: number): Promise<void> {
    const answer = await this.deps.peers.positions(watcher, ASK_TIMEOUT_MS);
    if (!answer.ok) this.deps.watcher.failed(watcher);
    const positions = answer.ok ? answer.value : {};
    this.tell({kind: 'received', positions, sentAt});
  }

  /** Passes the samples on; groups without any learn that there are none. */
  private distribute(positions: RelayedPositions, sentAt: number): void {
    for (const group of this.deps.groups()) {
      const samples = (positions[group] ?? []).map(({ageMs, end}) => ({
        // The answer was written after the request was sent, so that the sample
        // is no older than this.
        askedAt: sentAt - ageMs,
        end,
      }));
      this.tellGroup(group, samples);
    }
  }

  private tellGroup(group: string, samples: PositionSamples): void {
    this.deps.database(group)?.tell({kind: 'positions', samples});
  }

  /** Answers a peer; many peers ask at about the same time. */
  private relay(reply: Reply<RelayedPositions>, now: number): void {
    if (now - this.collectedAt < COLLECT_INTERVAL_MS) {
      reply.answer(this.positionsAt(now));
      return;
    }
    this.waiting.push(reply);
    if (this.waiting.length === 1) this.runInBackground(() => this.collect());
  }

  private async collect(): Promise<void> {
    let samples: CollectedSamples = new Map();
    try {
      const groups = this.deps.groups();
      const collected = groups.map(group => this.samplesOf(group));
      samples = new Map(await Promise.all(collected));
    } finally {
      this.tell({kind: 'collected', samples});
    }
  }

  private async samplesOf(
    group: string,
  ): Promise<readonly [string, PositionSamples]> {
    const database = this.deps.database(group);
    if (!database) return [group, []];
    const samples = await ask<PositionSamples>(reply =>
      database.tell({kind: 'samples', reply}),
    );
    return [group, samples];
  }

  private positionsAt(now: number): RelayedPositions {
    return Object.fromEntries(
      [...this.collected].map(([group, samples]) => [
        group,
        relayedSamples(samples, now),
      ]),
    );
  }

  /** Starts to sample the primaries if this VM watches for others. */
  private activate(now: number): void {
    if (!this.deps.watcher.isFleetWatched()) return;
    const isActive = now < this.activeUntil;
    this.activeUntil = now + SAMPLE_DURATION_MS;
    if (!isActive) this.tick(now);
  }

  private tick(now: number): void {
    clearTimeout(this.timer);
    if (now >= this.activeUntil) return;
    for (const group of this.deps.groups()) {
      this.deps.database(group)?.tell({kind: 'sample-primary'});
    }
    this.timer = setTimeout(
      () => this.tell({kind: 'tick'}),
      SAMPLE_INTERVAL_MS,
    );
  }
}

/** Selects samples that are recent enough, with some space between them. */
function relayedSamples(
  samples: PositionSamples,
  now: number,
): readonly RelayedSample[] {
  const relayed: RelayedSample[] = [];
  for (const {askedAt, end} of samples) {
    const ageMs = now - askedAt;
    const last = relayed.at(-1);
    const isSpaced = !last || last.ageMs - ageMs >= RELAYED_SPACING_MS;
    if (ageMs <= MAX_SAMPLE_AGE_MS && isSpaced) relayed.push({ageMs, end});
  }
  return relayed;
}
