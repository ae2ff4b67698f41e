import {
  DeficitRoundRobinPolicy,
  UNLIMITED_CONCURRENCY,
  concurrencyLimit,
  haveSameValues,
  limitAfterFailure,
  limitAfterStart,
} from '@pistachiorill/core';
import type {AdaptiveConcurrency} from '@pistachiorill/core';
import {limitAfterResponse} from './limit_after_response.js';
import type {MemberConnection, ResponseInfo} from './member_connection.js';
import type {
  ConnectionRequest,
  MemberPoolLimits,
  PoolRefusal,
  PoolWaiter,
} from './pool_request.js';

interface PooledConnection {
  readonly connection: MemberConnection;
  readonly workspace: string;
  readonly use: 'idle' | 'statement' | 'transaction';
  /** The time at which the current use began. */
  readonly since: number;
}

/** The maximum number of requests that one workspace queues per member. */
const MAX_QUEUED_PER_WORKSPACE = 64;
/** Idle connections above the VM's share close after this time. */
const SURPLUS_IDLE_MS = 15;
/**
 * No connection is opened for this long after the member refused one. Doubles
 * with each further refusal up to the maximum: all VMs of a large fleet would
 * otherwise keep a member busy with connections that it refuses.
 */
const OPEN_BACKOFF_MS = 25;
const MAX_OPEN_BACKOFF_MS = 100;
/** A limit that was lowered after a refusal grows by one at this interval. */
const LIMIT_RAISE_INTERVAL_MS = 200;

/**
 * The connections of one VM to one member and the queue of requests for them.
 * Each connection belongs to one workspace; workspaces are served round-robin.
 */
export class MemberPool {
  private readonly connections = new Map<MemberConnection, PooledConnection>();
  private readonly queue = new DeficitRoundRobinPolicy<PoolWaiter>(
    MAX_QUEUED_PER_WORKSPACE,
  );
  private openBlockedUntil = -Infinity;
  private openBackoffMs = OPEN_BACKOFF_MS;
  /** The number of connections that the member currently accepts. */
  private adaptiveLimit = Infinity;
  private limitChangedAt = -Infinity;
  /** Transactions whose callers have not sent the next statement yet. */
  private readonly pausedTransactions = new Set<MemberConnection>();

  constructor(
    private limits: MemberPoolLimits,
    private readonly open: (workspace: string) => MemberConnection,
    /** The member's limit as known from an earlier pool. */
    private recordedConcurrency: AdaptiveConcurrency = UNLIMITED_CONCURRENCY,
    private readonly onConcurrency: (state: AdaptiveConcurrency) => void = () =>
      undefined,
  ) {}

  /** The limit on concurrent statements that the member's answers show. */
  get concurrency(): AdaptiveConcurrency {
    return this.recordedConcurrency;
  }

  private set concurrency(state: AdaptiveConcurrency) {
    const before = this.recordedConcurrency;
    this.recordedConcurrency = state;
    if (before.reason !== state.reason || before.limit !== state.limit) {
      this.onConcurrency(state);
    }
  }

  /** The number of statements that may run concurrently. */
  statementLimit(now: number): number {
    return concurrencyLimit(this.concurrency, this.limits.statements, now);
  }

  /** Limits a member that started, recovered or was promoted. */
  starts(reason: 'started' | 'recovered' | 'promoted', now: number): void {
    this.concurrency = limitAfterStart(this.concurrency, reason, now);
  }

  /** Records that a connection sent a request. */
  sent(connection: MemberConnection): void {
    this.pausedTransactions.delete(connection);
  }

  /** Records a response. */
  answered(
    connection: MemberConnection,
    info: ResponseInfo,
    now: number,
  ): void {
    this.concurrency = limitAfterResponse(
      this.concurrency,
      info,
      {inFlight: this.running, full: this.limits.statements},
      now,
    );
    const item = this.connections.get(connection);
    if (item?.use === 'transaction' && info.work === 'statement') {
      this.pausedTransactions.add(connection);
      this.serve(now);
    }
  }

  /** Records that the member did not respond to a request. */
  failed(now: number): void {
    const {statements} = this.limits;
    this.concurrency = limitAfterFailure(this.concurrency, statements, now);
  }

  /** Checked-out connections and queued requests. */
  get inFlight(): number {
    return this.count(item => item.use !== 'idle') + this.queue.size;
  }

  /** The number of queued requests. */
  get waiting(): number {
    return this.queue.size;
  }

  /** The number of open connections. */
  get size(): number {
    return this.connections.size;
  }

  /** Replaces the limits; checked-out connections above them stay open. */
  setLimits(limits: MemberPoolLimits): void {
    this.limits = limits;
  }

  /** Whether the workspace has an idle connection. */
  hasIdle(workspace: string): boolean {
    for (const item of this.connections.values()) {
      if (item.use === 'idle' && item.workspace === workspace) return true;
    }
    return false;
  }

  /** Whether a request would be granted without waiting. */
  canGrant(request: ConnectionRequest, now: number): boolean {
    if (this.queue.size > 0 || !this.hasSlot(request.use, now)) return false;
    return (
      this.hasIdle(request.workspace) ||
      ((this.isBelowConnectionLimit || this.oldestIdle() !== undefined) &&
        now >= this.openBlockedUntil)
    );
  }

  /** Queues a request, or refuses it if the workspace's queue is full. */
  add(waiter: PoolWaiter, now: number): void {
    const {workspace, until} = waiter;
    if (
      this.queue.enqueue({workspace, deadline: until, item: waiter}) === 'full'
    ) {
      waiter.refuse('queue-full');
      return;
    }
    this.serve(now);
  }

  /** Takes a connection back and closes it unless it can be reused. */
  returnConnection(connection: MemberConnection, now: number): void {
    const item = this.connections.get(connection);
    this.pausedTransactions.delete(connection);
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
   * Lowers the limit to the number of open connections, as the member refused
   * another one. The member counts the connections of all VMs, so the limit
   * grows again over time.
   */
  lowerLimit(now: number): void {
    this.openBlockedUntil = now + this.openBackoffMs;
    this.openBackoffMs = Math.min(MAX_OPEN_BACKOFF_MS, this.openBackoffMs * 2);
    this.adaptiveLimit = Math.max(1, this.limits.share, this.connections.size);
    this.limitChangedAt = now;
  }

  /** Records that the member accepted a connection. */
  accepted(): void {
    this.openBackoffMs = OPEN_BACKOFF_MS;
  }

  /** Closes idle connections, as a dead one shows only when it is used. */
  closeIdle(): void {
    for (const [connection, item] of this.connections) {
      if (item.use === 'idle') this.closeConnection(connection);
    }
  }

  /** Closes all connections and refuses all queued requests. */
  abandon(): void {
    for (const connection of [...this.connections.keys()]) {
      this.closeConnection(connection);
    }
    this.refuseWaiting('pool-drained');
  }

  /** Closes idle connections and refuses all queued requests. */
  drain(): void {
    this.closeIdle();
    this.refuseWaiting('pool-drained');
  }

  /**
   * Raises a lowered limit, refuses requests whose wait ended and closes
   * unusable and surplus idle connections.
   */
  maintain(now: number): void {
    if (now - this.limitChangedAt > LIMIT_RAISE_INTERVAL_MS) {
      this.adaptiveLimit++;
      this.limitChangedAt = now;
    }
    for (const entry of this.queue.removeExpired(now)) {
      entry.item.refuse('wait-timed-out');
    }
    let idle = this.count(item => item.use === 'idle');
    for (const [connection, item] of this.connections) {
      const isUnusable = item.use === 'idle' && connection.state !== 'clean';
      const isSurplus =
        item.use === 'idle' &&
        idle > this.limits.share &&
        now - item.since > SURPLUS_IDLE_MS;
      if (!isUnusable && !isSurplus) continue;
      this.closeConnection(connection);
      idle--;
    }
    this.serve(now);
  }

  /** The number of checked-out connections. */
  get inUse(): number {
    return this.count(item => item.use !== 'idle');
  }

  private closeConnection(connection: MemberConnection): void {
    this.pausedTransactions.delete(connection);
    this.connections.delete(connection);
    connection.tell({kind: 'close'});
  }

  private refuseWaiting(reason: PoolRefusal): void {
    for (const entry of this.queue.removeExpired(Infinity)) {
      entry.item.refuse(reason);
    }
  }

  /** Grants connections to queued requests until none is available. */
  private serve(now: number): void {
    while (this.queue.size > 0) {
      const next = this.queue.dequeue();
      if (!next) return;
      const waiter = next.item;
      const connection = this.takeConnection(waiter, now);
      if (!connection) {
        this.queue.requeue(next);
        return;
      }
      waiter.grant(connection);
    }
  }

  private takeConnection(
    request: ConnectionRequest,
    now: number,
  ): MemberConnection | undefined {
    if (!this.hasSlot(request.use, now)) return undefined;
    const connection = this.takeIdle(request) ?? this.openFor(request, now);
    if (connection) {
      const {workspace, use} = request;
      this.connections.set(connection, {
        connection,
        workspace,
        use,
        since: now,
      });
    }
    return connection;
  }

  /** Prefers a connection on which the session's values are already set. */
  private takeIdle(request: ConnectionRequest): MemberConnection | undefined {
    let found: MemberConnection | undefined;
    for (const [connection, item] of this.connections) {
      if (item.use !== 'idle' || item.workspace !== request.workspace) continue;
      if (connection.state !== 'clean') continue;
      found = connection;
      if (haveSameValues(connection.values, request.values)) break;
    }
    return found;
  }

  /**
   * Opens a connection. At the connection limit, the one that has been idle
   * for longest is closed first.
   */
  private openFor(
    request: ConnectionRequest,
    now: number,
  ): MemberConnection | undefined {
    if (now < this.openBlockedUntil) return undefined;
    if (!this.isBelowConnectionLimit) {
      const oldest = this.oldestIdle();
      if (!oldest) return undefined;
      this.closeConnection(oldest);
    }
    return this.open(request.workspace);
  }

  private get isBelowConnectionLimit(): boolean {
    const limit = Math.min(this.limits.connections, this.adaptiveLimit);
    return this.connections.size < limit;
  }

  /**
   * In normal operation transactions are limited by the number of connections
   * only. Their statements count for the limit of a member that shows trouble.
   */
  private hasSlot(use: ConnectionRequest['use'], now: number): boolean {
    if (this.concurrency.reason !== 'none') {
      return this.running < this.statementLimit(now);
    }
    if (use === 'transaction') return true;
    const running = this.count(item => item.use === 'statement');
    return running < this.limits.statements;
  }

  /** The number of statements that run, also in transactions. */
  private get running(): number {
    return this.inUse - this.pausedTransactions.size;
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
