import {createHash} from 'node:crypto';
import {decideFollow} from '@pistachiorill/core';
import {Task} from '@pistachiorill/tasks';
import type {Clock, Reply} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {DirectoryRequest} from '../peers/gateway_router.js';
import type {PeerSet} from '../peers/peer_set.js';
import {WaitingReplies} from '../peers/waiting_replies.js';
import type {WatcherChoice} from '../peers/watcher_choice.js';
import type {ListedMember, MemberDirectory} from '../ports/member_directory.js';

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
 * The interval after a member did not answer and while one is missing from the
 * list, as its entry may have changed.
 */
const URGENT_LIST_INTERVAL_MS = 400;
const RETRY_INTERVAL_MS = 400;
const PEER_TIMEOUT_MS = 400;
/**
 * Entries that expired while the store was unavailable are renewed within two
 * seconds of its return; a member that is missing for longer has left.
 */
const EVICT_MISSING_AFTER_MS = 2_500;

/**
 * Where a list comes from: the store itself, the watcher that reads it for this
 * VM, or, while the store is unavailable, any peer, whose list may be old.
 */
type ListSource = 'store' | 'watcher' | 'peer';

/** A VM's list of members and its age, as they are sent to a peer. */
export interface RelayedMembers {
  /** Left out if the caller has the list with this digest. */
  readonly members?: readonly ListedMember[] | undefined;
  readonly digest: string;
  readonly ageMs: number;
  /** How long the answer was held. */
  readonly heldMs: number;
}

/** Messages that the directory task handles. */
export type DirectoryMessage =
  | {readonly kind: 'list'}
  | {
      readonly kind: 'listed';
      readonly members: readonly ListedMember[];
      readonly from: ListSource;
      /** When the store held this list. */
      readonly asOf: number;
    }
  /** A peer asks for the list. */
  | {
      readonly kind: 'relay';
      readonly request: DirectoryRequest;
      readonly reply: Reply<RelayedMembers | undefined>;
    }
  /** A member does not answer, so its entry is read again soon. */
  | {readonly kind: 'list-soon'}
  | {readonly kind: 'stop'};

type ListedMessage = Extract<DirectoryMessage, {kind: 'listed'}>;

/** Collaborators of the directory task. */
export interface DirectoryDependencies {
  /** The watcher that reads the list for this VM, if it does not itself. */
  readonly watcher: WatcherChoice;
  readonly directory: MemberDirectory;
  readonly peers: PeerSet;
  readonly clock: Clock;
  readonly onMembers: (members: readonly ListedMember[]) => void;
  readonly onStoreFailure: (call: string) => void;
  readonly log: Logger;
  readonly onFailed: (err: unknown) => void;
}

/** A member of the list, which may be missing from newer lists. */
interface KnownMember {
  readonly listed: ListedMember;
  /** Since when it has been missing from lists, if it is. */
  readonly missingSince: number | undefined;
}

/** Owns this VM's list of the members of all groups. */
export class DirectoryTask extends Task<DirectoryMessage> {
  private readonly known = new Map<string, KnownMember>();
  private timer: NodeJS.Timeout | undefined;
  private listedAt = -Infinity;
  /** When the store held the current list. */
  private asOf = -Infinity;
  private pace: 'usual' | 'urgent' = 'usual';
  private state: 'idle' | 'listing' | 'stopped' = 'idle';
  /** The list published last, as JSON, and its digest. */
  private published = '';
  private digest = '';
  /** The list that a peer sent last. */
  private received: Pick<RelayedMembers, 'members' | 'digest'> | undefined;
  private readonly waitingPeers = new WaitingReplies();
  private askedStoreAt = -Infinity;
  private storeFailures = 0;

  constructor(private readonly deps: DirectoryDependencies) {
    super();
  }

  protected override handle(message: DirectoryMessage): void {
    switch (message.kind) {
      case 'list':
        if (this.state === 'idle') this.runInBackground(() => this.list());
        return;
      case 'listed':
        this.mergeList(message);
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

  private async list(): Promise<void> {
    this.state = 'listing';
    this.listedAt = this.deps.clock();
    let listed: ListedMessage | undefined;
    try {
      listed = await this.fetch();
      if (listed && !this.isStopped()) this.tell(listed);
    } finally {
      if (!this.isStopped()) {
        this.state = 'idle';
        this.schedule(listed ? this.interval() : RETRY_INTERVAL_MS);
        this.pace = 'usual';
      }
    }
  }

  /**
   * Reads the list from the store. If the store does not answer, a peer's list
   * is merged but none is returned, so that the store is read again soon.
   */
  private async readStore(): Promise<ListedMessage | undefined> {
    const {clock, directory, peers, onStoreFailure} = this.deps;
    const asOf = clock();
    this.askedStoreAt = asOf;
    const result = await directory.list();
    if (result.ok) {
      this.storeFailures = 0;
      return {kind: 'listed', members: result.value, from: 'store', asOf};
    }
    this.storeFailures++;
    onStoreFailure('directory');
    const [peer] = peers.sample(1, undefined);
    const relayed =
      peer === undefined ? undefined : await this.askPeer(peer, 0);
    if (relayed) this.tell({...relayed, from: 'peer'});
    return undefined;
  }

  /**
   * Asks the watcher for its list, or reads the store: if this VM watches the
   * store itself, or if the watcher's list is old.
   */
  private async fetch(): Promise<ListedMessage | undefined> {
    const {watcher, clock} = this.deps;
    const name = watcher.next();
    if (name === undefined) return this.readStore();
    // A follower that has no list, or an urgent need, is answered at once.
    const waitMs = this.received && this.pace === 'usual' ? FOLLOW_MS : 0;
    const relayed = await this.askPeer(name, waitMs);
    if (!relayed) watcher.failed(name);
    const now = clock();
    if (relayed && now - relayed.asOf <= MAX_RELAYED_AGE_MS) {
      return {...relayed, from: 'watcher'};
    }
    const {askedStoreAt, storeFailures} = this;
    const decision = decideFollow(
      {
        confirmedAt: Math.max(this.asOf, relayed?.asOf ?? -Infinity),
        maxAgeMs: MAX_RELAYED_AGE_MS,
        askedStoreAt,
        storeFailures,
      },
      now,
    );
    if (decision.kind === 'ask-store') return this.readStore();
    if (relayed) this.tell({...relayed, from: 'peer'});
    return undefined;
  }

  private async askPeer(
    peer: string,
    waitMs: number,
  ): Promise<Omit<ListedMessage, 'from'> | undefined> {
    const {peers, clock} = this.deps;
    const askedAt = clock();
    const known = this.received?.digest ?? '';
    const answer = await peers.directory(
      peer,
      {known, waitMs},
      waitMs + PEER_TIMEOUT_MS,
    );
    if (!answer.ok || !answer.value) return undefined;
    const {digest, ageMs, heldMs} = answer.value;
    const isKnown = digest === this.received?.digest;
    const members =
      answer.value.members ?? (isKnown ? this.received?.members : undefined);
    if (!members || members.length === 0) return undefined;
    this.received = {members, digest};
    return {kind: 'listed', members, asOf: askedAt + heldMs - ageMs};
  }

  /** Answers a peer, if it has the current list only once that changed. */
  private relay(
    {known, waitMs}: DirectoryRequest,
    reply: Reply<RelayedMembers | undefined>,
  ): void {
    const receivedAt = this.deps.clock();
    const answer = (): void => {
      if (this.asOf === -Infinity) {
        reply.answer(undefined);
        return;
      }
      const {digest} = this;
      const now = this.deps.clock();
      const times = {ageMs: now - this.asOf, heldMs: now - receivedAt};
      const members = [...this.known.values()].map(item => item.listed);
      reply.answer(
        known === digest ? {digest, ...times} : {members, digest, ...times},
      );
    };
    const isHeld = known === this.digest && !this.isStopped();
    if (isHeld && waitMs > 0) this.waitingPeers.add(answer, waitMs);
    else answer();
  }

  private isStopped(): boolean {
    return this.state === 'stopped';
  }

  private interval(): number {
    const missing = [...this.known.values()].some(
      item => item.missingSince !== undefined,
    );
    return missing || this.pace === 'urgent'
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

  /** Merges a list into the current one; publishes the result if it differs. */
  private mergeList({members, from, asOf}: ListedMessage): void {
    // An older list would undo newer changes, such as that a member is leaving.
    if (asOf <= this.asOf) return;
    this.asOf = asOf;
    const now = this.deps.clock();
    for (const listed of members) {
      this.known.set(listed.member, {listed, missingSince: undefined});
    }
    const names = new Set(members.map(item => item.member));
    for (const [name, item] of this.known) {
      // A peer's list may lack a member because the store was unavailable.
      if (names.has(name) || from === 'peer') continue;
      const missingSince = item.missingSince ?? now;
      // A watcher only drops a member after this wait.
      const isExpired =
        from === 'watcher' || now - missingSince >= EVICT_MISSING_AFTER_MS;
      if (isExpired) this.known.delete(name);
      else this.known.set(name, {...item, missingSince});
    }
    const current = [...this.known.values()].map(item => item.listed);
    const text = JSON.stringify(current);
    if (text === this.published) return;
    this.published = text;
    this.digest = createHash('sha256').update(text).digest('base64');
    this.deps.log.info(
      {
        event: 'directory.changed',
        from,
        members: current.map(
          item => `${item.group}/${item.member} ${item.role} ${item.state}`,
        ),
      },
      'the list of members changed',
    );
    this.deps.onMembers(current);
    this.waitingPeers.release();
  }
}
