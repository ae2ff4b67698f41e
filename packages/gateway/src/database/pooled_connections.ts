import {haveSameValues} from '@pistachiorill/core';
import type {MemberConnection} from './member_connection.js';
import type {ConnectionRequest} from './pool_request.js';

/** A connection of a pool and its current use. */
export interface PooledConnection {
  readonly connection: MemberConnection;
  readonly workspace: string;
  readonly use: 'idle' | 'statement' | 'transaction';
  /** The time at which the current use began. */
  readonly since: number;
}

/** The open connections of a pool, each of which belongs to one workspace. */
export class PooledConnections {
  private readonly items = new Map<MemberConnection, PooledConnection>();
  /** Transactions whose callers have not sent the next statement yet. */
  private readonly pausedTransactions = new Set<MemberConnection>();

  /** All connections, those that have been open for longest first. */
  get all(): readonly PooledConnection[] {
    return [...this.items.values()];
  }

  /** The number of open connections. */
  get size(): number {
    return this.items.size;
  }

  /** The number of checked-out connections. */
  get inUse(): number {
    return this.count(item => item.use !== 'idle');
  }

  /** The number of statements outside transactions that run. */
  get statements(): number {
    return this.count(item => item.use === 'statement');
  }

  /** The number of statements that run, also in transactions. */
  get running(): number {
    return this.inUse - this.pausedTransactions.size;
  }

  get(connection: MemberConnection): PooledConnection | undefined {
    return this.items.get(connection);
  }

  /** Adds a connection, or changes its use. */
  set(item: PooledConnection): void {
    this.items.set(item.connection, item);
    this.pausedTransactions.delete(item.connection);
  }

  delete(connection: MemberConnection): void {
    this.items.delete(connection);
    this.pausedTransactions.delete(connection);
  }

  /** Records that a transaction waits for its caller's next statement. */
  pause(connection: MemberConnection): void {
    this.pausedTransactions.add(connection);
  }

  /** Records that a transaction's statement was sent. */
  resume(connection: MemberConnection): void {
    this.pausedTransactions.delete(connection);
  }

  /** Whether the workspace has an idle connection. */
  hasIdle(workspace: string): boolean {
    for (const item of this.items.values()) {
      if (item.use === 'idle' && item.workspace === workspace) return true;
    }
    return false;
  }

  /**
   * Returns an idle connection of the request's workspace. Prefers one on which
   * the session's values are already set.
   */
  findIdle(request: ConnectionRequest): MemberConnection | undefined {
    let found: MemberConnection | undefined;
    for (const {connection, use, workspace} of this.items.values()) {
      if (use !== 'idle' || workspace !== request.workspace) continue;
      if (connection.state !== 'clean') continue;
      found = connection;
      if (haveSameValues(connection.values, request.values)) break;
    }
    return found;
  }

  /** Returns the connection that has been idle for longest. */
  oldestIdle(): MemberConnection | undefined {
    let oldest: PooledConnection | undefined;
    for (const item of this.items.values()) {
      if (item.use !== 'idle') continue;
      if (!oldest || item.since < oldest.since) oldest = item;
    }
    return oldest?.connection;
  }

  /** The idle connections, those that have been idle for longest first. */
  get idle(): readonly PooledConnection[] {
    return this.all
      .filter(item => item.use === 'idle')
      .sort((a, b) => a.since - b.since);
  }

  private count(matches: (item: PooledConnection) => boolean): number {
    let count = 0;
    for (const item of this.items.values()) if (matches(item)) count++;
    return count;
  }
}
