import {DeficitRoundRobinPolicy, sameValues} from '@pistachiorill/core';
import type {SessionValues} from '@pistachiorill/core';
import type {MemberConnection} from './member_connection.js';

/** What a statement or transaction wants a connection for. */
export interface ConnectionWant {
  readonly workspace: string;
  readonly values: SessionValues;
  readonly use: 'statement' | 'transaction';
  /** When the wait ends. */
  readonly until: number;
}

/** A want that waits for its turn. */
export interface PoolWaiter extends ConnectionWant {
  readonly grant: (connection: MemberConnection) => void;
  readonly refuse: (reason: PoolRefusal) => void;
}

export type PoolRefusal = 'queue-full' | 'wait-ended' | 'member-left';

interface PooledConnection {
  readonly connection: MemberConnection;
  readonly workspace: string;
  readonly use: 'idle' | 'statement' | 'transaction';
  readonly since: number;
}

/** Waiting statements of one workspace for one member. */
const QUEUE_LIMIT = 64;
/** Idle connections above the VM's share close after this. */
const SPARE_IDLE_MS = 15;
/** How long no connection is opened after the member refused one. */
const FULL_BACKOFF_MS = 25;
/** How often a limit that was lowered by a refusal grows by one. */
const REGROW_MS = 200;

/** What a pool may use of its member. */
export interface MemberPoolLimits {
  readonly connections: number;
  /** The connections that the VM keeps while they are idle. */
  readonly share: number;
  /** Statements outside transactions that run at a time. */
  readonly statements: number;
}

/**
 * The connections of one VM to one member, each of which belongs to one
 * workspace, and the statements that wait for one. Workspaces take turns.
 */
export class MemberPool {
  private readonly connections = new Map<MemberConnection, PooledConnection>();
  private readonly queue = new DeficitRoundRobinPolicy<PoolWaiter>(QUEUE_LIMIT);
  private fullUntil = -Infinity;
  /** The connections that the member seems to have left for this VM. */
  private learnedLimit = Infinity;
  private regrownAt = -Infinity;

  constructor(
    private limits: MemberPoolLimits,
    private readonly open: (workspace: string) => MemberConnection,
  ) {}

  get inFlight(): number {
    return this.count(item => item.use !== 'idle') + this.queue.size;
  }

  get waiting(): number {
    return this.queue.size;
  }

  get size(): number {
    return this.connections.size;
  }

  setLimits(limits: MemberPoolLimits): void {
    this.limits = limits;
  }

  hasIdle(workspace: string): boolean {
    for (const item of this.connections.values()) {
      if (item.use === 'idle' && item.workspace === workspace) return true;
    }
    return false;
  }

  /** Whether a want would be granted without waiting. */
  canGrant(want: ConnectionWant, now: number): boolean {
    if (this.queue.size > 0 || !this.hasPlace(want.use)) return false;
    return (
      this.hasIdle(want.workspace) ||
      ((this.hasRoom || this.oldestIdle() !== undefined) &&
        now >= this.fullUntil)
    );
  }

  add(waiter: PoolWaiter, now: number): void {
    const {workspace, until} = waiter;
    if (this.queue.enqueue({workspace, until, item: waiter}) === 'full') {
      waiter.refuse('queue-full');
      return;
    }
    this.serve(now);
  }

  release(connection: MemberConnection, now: number): void {
    const item = this.connections.get(connection);
    if (!item) return;
    if (connection.state === 'clean') {
      this.connections.set(connection, {...item, use: 'idle', since: now});
    } else {
      this.connections.delete(connection);
      if (connection.state !== 'closed') connection.tell({kind: 'close'});
    }
    this.serve(now);
  }

  /**
   * Lowers the limit to what is open, as the member accepts no more. The
   * connections of all VMs count there, so the limit grows again by itself.
   */
  memberFull(now: number): void {
    this.fullUntil = now + FULL_BACKOFF_MS;
    this.learnedLimit = Math.max(1, this.limits.share, this.connections.size);
    this.regrownAt = now;
  }

  /** Closes idle connections, whose silence would only show in use. */
  dropIdle(): void {
    for (const [connection, item] of this.connections) {
      if (item.use === 'idle') this.drop(connection);
    }
  }

  /** Closes all connections and refuses all that wait. */
  abandon(): void {
    for (const connection of [...this.connections.keys()]) {
      this.drop(connection);
    }
    this.refuseAll('member-left');
  }

  /** Closes idle connections and refuses all that wait. */
  drain(): void {
    this.dropIdle();
    this.refuseAll('member-left');
  }

  maintain(now: number): void {
    if (now - this.regrownAt > REGROW_MS) {
      this.learnedLimit++;
      this.regrownAt = now;
    }
    for (const entry of this.queue.removeExpired(now)) {
      entry.item.refuse('wait-ended');
    }
    let idle = this.count(item => item.use === 'idle');
    for (const [connection, item] of this.connections) {
      const stale = item.use === 'idle' && connection.state !== 'clean';
      const spare =
        item.use === 'idle' &&
        idle > this.limits.share &&
        now - item.since > SPARE_IDLE_MS;
      if (!stale && !spare) continue;
      this.drop(connection);
      idle--;
    }
    this.serve(now);
  }

  /** Statements and transactions that hold a connection. */
  get inUse(): number {
    return this.count(item => item.use !== 'idle');
  }

  private drop(connection: MemberConnection): void {
    this.connections.delete(connection);
    connection.tell({kind: 'close'});
  }

  private refuseAll(reason: PoolRefusal): void {
    for (const entry of this.queue.removeExpired(Infinity)) {
      entry.item.refuse(reason);
    }
  }

  private serve(now: number): void {
    while (this.queue.size > 0) {
      const next = this.queue.dequeue();
      if (!next) return;
      const waiter = next.item;
      const connection = this.take(waiter, now);
      if (!connection) {
        this.queue.putBack(next);
        return;
      }
      waiter.grant(connection);
    }
  }

  private take(
    want: ConnectionWant,
    now: number,
  ): MemberConnection | undefined {
    if (!this.hasPlace(want.use)) return undefined;
    const connection = this.takeIdle(want) ?? this.openFor(want, now);
    if (connection) {
      const {workspace, use} = want;
      this.connections.set(connection, {
        connection,
        workspace,
        use,
        since: now,
      });
    }
    return connection;
  }

  /** Prefers a connection that holds the session's values already. */
  private takeIdle(want: ConnectionWant): MemberConnection | undefined {
    let found: MemberConnection | undefined;
    for (const [connection, item] of this.connections) {
      if (item.use !== 'idle' || item.workspace !== want.workspace) continue;
      if (connection.state !== 'clean') continue;
      found = connection;
      if (sameValues(connection.values, want.values)) break;
    }
    return found;
  }

  private openFor(
    want: ConnectionWant,
    now: number,
  ): MemberConnection | undefined {
    if (now < this.fullUntil) return undefined;
    if (!this.hasRoom) {
      const oldest = this.oldestIdle();
      if (!oldest) return undefined;
      this.drop(oldest);
    }
    return this.open(want.workspace);
  }

  private get hasRoom(): boolean {
    const limit = Math.min(this.limits.connections, this.learnedLimit);
    return this.connections.size < limit;
  }

  private hasPlace(use: ConnectionWant['use']): boolean {
    if (use === 'transaction') return true;
    const running = this.count(item => item.use === 'statement');
    return running < this.limits.statements;
  }

  private oldestIdle(): MemberConnection | undefined {
    let oldest: PooledConnection | undefined;
    for (const item of this.connections.values()) {
      if (item.use !== 'idle') continue;
      if (!oldest || item.since < oldest.since) oldest = item;
    }
    return oldest?.connection;
  }

  private count(matches: (item: PooledConnection) => boolean): number {
    let count = 0;
    for (const item of this.connections.values()) if (matches(item)) count++;
    return count;
  }
}
