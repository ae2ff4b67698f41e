import {
  UNLIMITED_CONCURRENCY,
  concurrencyLimit,
  limitAfterFailure,
  limitAfterStart,
} from '@pistachiorill/core';
import type {AdaptiveConcurrency, ExpectedLoad} from '@pistachiorill/core';
import {limitAfterResponse} from './limit_after_response.js';
import type {MemberConnection, ResponseInfo} from './member_connection.js';
import {PooledConnections} from './pooled_connections.js';
import {PoolQueue} from './pool_queue.js';
import type {AwaitedConnections} from './pool_queue.js';
import type {
  ConnectionRequest,
  MemberPoolLimits,
  PoolWaiter,
} from './pool_request.js';

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
  private readonly connections = new PooledConnections();
  private readonly queue = new PoolQueue();
  private openBlockedUntil = -Infinity;
  private openBackoffMs = OPEN_BACKOFF_MS;
  /** The number of connections that the member currently accepts. */
  private adaptiveLimit = Infinity;
  private limitChangedAt = -Infinity;

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
    this.queue.resetEstimates();
  }

  /** Records that a connection sent a request. */
  sent(connection: MemberConnection): void {
    this.connections.resume(connection);
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
      {inFlight: this.connections.running, full: this.limits.statements},
      now,
    );
    const item = this.connections.get(connection);
    if (!item || info.work === 'setup') return;
    if (item.use === 'transaction') {
      this.connections.pause(connection);
      this.serve(now);
    } else if (info.outcome === 'done') {
      this.queue.served('statement', now - item.since);
    }
  }

  /** Records that the member did not respond to a request. */
  failed(now: number): void {
    const {statements} = this.limits;
    this.concurrency = limitAfterFailure(this.concurrency, statements, now);
  }

  /** Checked-out connections and queued requests. */
  get inFlight(): number {
    return this.connections.inUse + this.queue.size;
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
    return this.connections.hasIdle(workspace);
  }

  /** Whether a request would be granted without waiting. */
  canGrant(request: ConnectionRequest, now: number): boolean {
    if (this.queue.hasAhead(request)) return false;
    if (!this.hasSlot(request, now)) return false;
    return (
      this.hasIdle(request.workspace) ||
      ((this.isBelowConnectionLimit ||
        this.connections.oldestIdle() !== undefined) &&
        now >= this.openBlockedUntil)
    );
  }

  /** Queues a request, or refuses it if it would wait for too long. */
  add(waiter: PoolWaiter, now: number): void {
    this.queue.add(waiter, this.expectedLoad(waiter, now), now);
    this.serve(now);
  }

  /** Returns what a request would wait for. */
  expectedLoad(request: ConnectionRequest, now: number): ExpectedLoad {
    if (this.canGrant(request, now)) return {waitMs: 0, intervalMs: 0};
    const awaited = this.awaitedConnections(request, now);
    return this.queue.expectedLoad(request, awaited);
  }

  /** Takes a connection back and closes it unless it can be reused. */
  returnConnection(connection: MemberConnection, now: number): void {
    const item = this.connections.get(connection);
    if (!item) return;
    if (connection.state === 'clean') {
      if (item.use === 'transaction') {
        this.queue.served('transaction', now - item.since);
      }
      this.connections.set({...item, use: 'idle', since: now});
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
    for (const {connection, use} of this.connections.all) {
      if (use === 'idle') this.closeConnection(connection);
    }
  }

  /** Closes all connections and refuses all queued requests. */
  abandon(): void {
    for (const {connection} of this.connections.all) {
      this.closeConnection(connection);
    }
    this.queue.refuseAll();
  }

  /** Closes idle connections and refuses all queued requests. */
  drain(): void {
    this.closeIdle();
    this.queue.refuseAll();
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
    this.queue.refuseExpired(item => this.awaitedConnections(item, now), now);
    for (const {connection} of this.connections.idle) {
      if (connection.state !== 'clean') this.closeConnection(connection);
    }
    // The workspaces that send most keep theirs.
    const {idle} = this.connections;
    const surplus = Math.max(0, idle.length - this.limits.share);
    for (const {connection, since} of idle.slice(0, surplus)) {
      if (now - since > SURPLUS_IDLE_MS) this.closeConnection(connection);
    }
    this.serve(now);
  }

  /** The number of checked-out connections. */
  get inUse(): number {
    return this.connections.inUse;
  }

  private closeConnection(connection: MemberConnection): void {
    this.connections.delete(connection);
    connection.tell({kind: 'close'});
  }

  /** Returns what a request that cannot be granted now waits for. */
  private awaitedConnections(
    request: ConnectionRequest,
    now: number,
  ): AwaitedConnections {
    const {reason, limit, pausedUntil} = this.concurrency;
    const {statements, inUse} = this.connections;
    const isLimited = !this.hasSlot(request, now);
    if (isLimited && reason === 'none') {
      return {limit: 'statements', inUse: statements, blockedMs: 0};
    }
    if (isLimited) {
      return {
        limit: 'connections',
        inUse: limit < 1 ? limit : this.statementLimit(now),
        blockedMs: Math.max(0, pausedUntil - now),
      };
    }
    // Either the next connection is opened, or one is returned.
    const opens = this.isBelowConnectionLimit || this.connections.oldestIdle();
    const blockedMs = Math.max(0, this.openBlockedUntil - now);
    return opens
      ? {limit: 'connections', inUse: 0, blockedMs}
      : {limit: 'connections', inUse, blockedMs: 0};
  }

  /** Grants connections to queued requests until none is available. */
  private serve(now: number): void {
    for (;;) {
      const next = this.queue.dequeue();
      if (!next) return;
      const connection = this.takeConnection(next.item, now);
      if (connection) {
        next.item.grant(connection);
        continue;
      }
      this.queue.requeue(next);
      if (!this.serveMostUrgent(now)) return;
    }
  }

  /** Grants a connection to the most urgent request, if only it may run. */
  private serveMostUrgent(now: number): boolean {
    if (now >= this.concurrency.pausedUntil) return false;
    const next = this.queue.dequeueMostUrgent();
    const connection = next && this.takeConnection(next.item, now);
    if (connection) next.item.grant(connection);
    else if (next) this.queue.requeue(next);
    return connection !== undefined;
  }

  private takeConnection(
    request: ConnectionRequest,
    now: number,
  ): MemberConnection | undefined {
    if (!this.hasSlot(request, now)) return undefined;
    const connection =
      this.connections.findIdle(request) ?? this.openFor(request, now);
    if (connection) {
      const {workspace, use} = request;
      this.connections.set({connection, workspace, use, since: now});
    }
    return connection;
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
      const oldest = this.connections.oldestIdle();
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
  private hasSlot({use, priority}: ConnectionRequest, now: number): boolean {
    const {running, statements} = this.connections;
    const {reason, pausedUntil} = this.concurrency;
    if (reason === 'none') {
      return use === 'transaction' || statements < this.limits.statements;
    }
    if (running < this.statementLimit(now)) return true;
    // The pauses are caused by the less urgent statements.
    return (
      now < pausedUntil && running < 1 && this.queue.isMostUrgent(priority)
    );
  }
}
