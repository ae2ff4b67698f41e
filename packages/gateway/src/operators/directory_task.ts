import {
  GONE_AFTER_MS,
  decideFollow,
  observedAt,
  observedMs,
} from '@pistachiorill/core';
import {Task} from '@pistachiorill/tasks';
import type {Clock, Reply} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {DirectoryRequest} from '../peers/gateway_router.js';
import type {PeerSet} from '../peers/peer_set.js';
import {WaitingReplies} from '../peers/waiting_replies.js';
import type {WatcherChoice} from '../peers/watcher_choice.js';
import type {ListedMember, MemberDirectory} from '../ports/member_directory.js';
import {MemberList} from './member_list.js';
import type {DirectoryView, ReceivedList} from './member_list.js';

/** How often the members are listed while each VM reads the store itself. */
const LIST_INTERVAL_MS = 2_000;
/**
 * The interval while watchers read the store for all others. A list then
 * takes two steps to arrive, so each is half as long.
 */
const SHARED_LIST_INTERVAL_MS = 1_000;
/** If a watcher's list is older than this, the VM reads the store itself. */
const MAX_RELAYED_AGE_MS = 1_500;
/** How long a watcher holds a request until the list changes. */
const FOLLOW_MS = 2_000;
/** The pause of a follower between two requests that are held. */
const FOLLOWED_LIST_INTERVAL_MS = 50;
/**
 * The interval after a member did not answer and while a member or a primary is
 * missing from the list, as its entry may have changed.
 */
const URGENT_LIST_INTERVAL_MS = 400;
const RETRY_INTERVAL_MS = 400;
const PEER_TIMEOUT_MS = 400;

/** A VM's list of members and its age, as they are sent to a peer. */
export interface RelayedMembers {
  /** Left out if the caller has the list with this digest. */
  readonly members?: readonly ListedMember[] | undefined;
  /** The names of those that the last list from the store lacked. */
  readonly missing?: readonly string[] | undefined;
  readonly digest: string;
  readonly ageMs: number;
  /** For how long the sender had read lists from the store by then. */
  readonly observedMs?: number | undefined;
  /** How long the answer was held. */
  readonly heldMs: number;
}

/** Messages that the directory task handles. */
export type DirectoryMessage =
  | {readonly kind: 'list'}
  | {readonly kind: 'listed'; readonly list: ReceivedList}
  /** A peer asks for the list. */
  | {
      readonly kind: 'relay';
      readonly request: DirectoryRequest;
      readonly reply: Reply<RelayedMembers | undefined>;
    }
  /** A member does not answer or a primary is missing: reads the list soon. */
  | {readonly kind: 'list-soon'}
  | {readonly kind: 'stop'};

/** Collaborators of the directory task. */
export interface DirectoryDependencies {
  /** The watcher that reads the list for this VM, if it does not itself. */
  readonly watcher: WatcherChoice;
  readonly directory: MemberDirectory;
  readonly peers: PeerSet;
  readonly clock: Clock;
  /** Called with each list, before `onMembers` if its members have changed. */
  readonly onListed: (view: DirectoryView) => void;
  readonly onMembers: (members: readonly ListedMember[]) => void;
  readonly onStoreFailure: (call: string) => void;
  readonly log: Logger;
  readonly onFailed: (err: unknown) => void;
}

/** Owns this VM's list of the members of all groups. */
export class DirectoryTask extends Task<DirectoryMessage> {
  private readonly list = new MemberList();
  private timer: NodeJS.Timeout | undefined;
  private listedAt = -Infinity;
  private pace: 'usual' | 'urgent' = 'usual';
  private state: 'idle' | 'listing' | 'stopped' = 'idle';
  /** The list that a peer sent last. */
  private received: Pick<ReceivedList, 'members' | 'missing'> | undefined;
  private receivedDigest = '';
  private readonly waitingPeers = new WaitingReplies();
  private askedStoreAt = -Infinity;
  private storeFailures = 0;

  constructor(private readonly deps: DirectoryDependencies) {
    super();
  }

  protected override handle(message: DirectoryMessage): void {
    switch (message.kind) {
      case 'list':
        if (this.state === 'idle') this.runInBackground(() => this.fetchList());
        return;
      case 'listed':
        this.mergeList(message.list);
        return;
      case 'relay':
        this.relay(message.request, message.reply);
        return;
      case 'list-soon':
        this.listSoon();
        return;
      case 'stop':
        this.state = 'stopped';
        this.waitingPeers.release();
        clearTimeout(this.timer);
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.deps.onFailed(err);
  }

  private async fetchList(): Promise<void> {
    this.state = 'listing';
    this.listedAt = this.deps.clock();
    let list: ReceivedList | undefined;
    try {
      list = await this.fetch();
      if (list && !this.isStopped()) this.tell({kind: 'listed', list});
    } finally {
      if (!this.isStopped()) {
        this.state = 'idle';
        this.schedule(list ? this.interval() : RETRY_INTERVAL_MS);
        this.pace = 'usual';
      }
    }
  }

  /**
   * Reads the list from the store. If the store does not answer, a peer's list
   * is merged but none is returned, so that the store is read again soon.
   */
  private async readStore(): Promise<ReceivedList | undefined> {
    const {clock, directory, peers, onStoreFailure} = this.deps;
    const asOf = clock();
    this.askedStoreAt = asOf;
    const result = await directory.list();
    if (result.ok) {
      this.storeFailures = 0;
      const observed = observedAt(asOf);
      return {members: result.value, missing: [], from: 'store', observed};
    }
    this.storeFailures++;
    this.list.interrupt();
    onStoreFailure('directory');
    const [peer] = peers.sample(1, undefined);
    const relayed =
      peer === undefined ? undefined : await this.askPeer(peer, 0);
    this.mergePeerList(relayed);
    return undefined;
  }

  /**
   * Asks the watcher for its list, or reads the store: if this VM watches the
   * store itself, or if the watcher's list is old.
   */
  private async fetch(): Promise<ReceivedList | undefined> {
    const {watcher, clock} = this.deps;
    const name = watcher.next();
    if (name === undefined) return this.readStore();
    // A follower that has no list, or an urgent need, is answered at once.
    const waitMs = this.received && this.pace === 'usual' ? FOLLOW_MS : 0;
    const relayed = await this.askPeer(name, waitMs);
    if (!relayed) watcher.failed(name);
    const now = clock();
    if (relayed && now - relayed.observed.until <= MAX_RELAYED_AGE_MS) {
      return {...relayed, from: 'watcher'};
    }
    const {askedStoreAt, storeFailures} = this;
    const decision = decideFollow(
      {
        confirmedAt: Math.max(
          this.list.asOf,
          relayed?.observed.until ?? -Infinity,
        ),
        maxAgeMs: MAX_RELAYED_AGE_MS,
        askedStoreAt,
        storeFailures,
      },
      now,
    );
    if (decision.kind === 'ask-store') return this.readStore();
    this.mergePeerList(relayed);
    return undefined;
  }

  private mergePeerList(relayed: Omit<ReceivedList, 'from'> | undefined): void {
    if (!relayed) return;
    this.tell({kind: 'listed', list: {...relayed, from: 'peer'}});
  }

  private async askPeer(
    peer: string,
    waitMs: number,
  ): Promise<Omit<ReceivedList, 'from'> | undefined> {
    const {peers, clock} = this.deps;
    const askedAt = clock();
    const known = this.receivedDigest;
    const answer = await peers.directory(
      peer,
      {known, waitMs},
      waitMs + PEER_TIMEOUT_MS,
    );
    if (!answer.ok || !answer.value) return undefined;
    const {digest, ageMs, heldMs, members, missing = []} = answer.value;
    const isKnown = digest === this.receivedDigest;
    const list = members ? {members, missing} : isKnown && this.received;
    if (!list || list.members.length === 0) return undefined;
    this.received = list;
    this.receivedDigest = digest;
    const until = askedAt + heldMs - ageMs;
    // VMs of an earlier version do not tell; they are not starting now.
    const since = until - (answer.value.observedMs ?? GONE_AFTER_MS);
    return {...list, observed: {since, until}};
  }

  /** Answers a peer, if it has the current list only once that changed. */
  private relay(
    {known, waitMs}: DirectoryRequest,
    reply: Reply<RelayedMembers | undefined>,
  ): void {
    const receivedAt = this.deps.clock();
    const answer = (): void => {
      const {digest, view} = this.list;
      if (!view) {
        reply.answer(undefined);
        return;
      }
      const now = this.deps.clock();
      const times = {
        ageMs: now - view.observed.until,
        heldMs: now - receivedAt,
        observedMs: observedMs(view.observed),
      };
      const {members, missing} = view;
      reply.answer(
        known === digest
          ? {digest, ...times}
          : {members, missing: [...missing], digest, ...times},
      );
    };
    const isHeld = known === this.list.digest && !this.isStopped();
    if (isHeld && waitMs > 0) this.waitingPeers.add(answer, waitMs);
    else answer();
  }

  private isStopped(): boolean {
    return this.state === 'stopped';
  }

  private interval(): number {
    const missingCount = this.list.view?.missing.size ?? 0;
    return missingCount > 0 || this.pace === 'urgent'
      ? URGENT_LIST_INTERVAL_MS
      : this.usualIntervalMs();
  }

  private usualIntervalMs(): number {
    const {watcher} = this.deps;
    if (!watcher.isFleetWatched()) return LIST_INTERVAL_MS;
    return watcher.next() === undefined
      ? SHARED_LIST_INTERVAL_MS
      : FOLLOWED_LIST_INTERVAL_MS;
  }

  private listSoon(): void {
    this.pace = 'urgent';
    if (this.state !== 'idle') return;
    const since = this.deps.clock() - this.listedAt;
    this.schedule(Math.max(0, URGENT_LIST_INTERVAL_MS - since));
  }

  private schedule(waitMs: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.tell({kind: 'list'}), waitMs);
  }

  /** Merges a list into the current one, and publishes the result. */
  private mergeList(list: ReceivedList): void {
    const change = this.list.merge(list);
    const {view} = this.list;
    if (!view) return;
    this.deps.onListed(view);
    if (change === 'none') return;
    if (change === 'members') this.deps.onMembers(view.members);
    const {members, missing, observed, completeness} = view;
    this.deps.log.info(
      {
        event: 'directory.changed',
        from: list.from,
        members: members.map(
          item => `${item.group}/${item.member} ${item.role} ${item.state}`,
        ),
        missing: [...missing],
        completeness,
        observedMs: Math.round(observedMs(observed)),
      },
      'the list of members changed',
    );
    this.waitingPeers.release();
  }
}
