import {
  PriorityPolicy,
  afterService,
  expectedWaitMs,
} from '@pistachiorill/core';
import type {
  ExpectedLoad,
  QueueEntry,
  ServiceTimeEstimate,
} from '@pistachiorill/core';
import type {ConnectionRequest, PoolWaiter} from './pool_request.js';

/** The maximum number of requests that one workspace queues per member. */
const MAX_QUEUED_PER_WORKSPACE = 64;
/**
 * The most urgent priority is exempt from pauses, and from refusals of what would
 * be late, as long as it takes a smaller share of the grants.
 */
const MAX_URGENT_SHARE = 0.5;
const UNKNOWN: ServiceTimeEstimate = {meanMs: 0};

/** What the requests of a queue wait for. */
export interface AwaitedConnections {
  /** Whether only the end of a statement lets the next one start. */
  readonly limit: 'statements' | 'connections';
  /** The number of connections that are in use up to this limit. */
  readonly inUse: number;
  /** How long no request is granted, whichever connection becomes free. */
  readonly blockedMs: number;
}

/**
 * The requests that wait for a connection of one pool: the most urgent first,
 * within a priority the workspaces in turn. Refuses at once what would wait for
 * longer than it may.
 */
export class PoolQueue {
  private readonly policy = new PriorityPolicy<PoolWaiter>(
    MAX_QUEUED_PER_WORKSPACE,
  );
  /** How long statements, and all uses, hold a connection. */
  private statementTime = UNKNOWN;
  private useTime = UNKNOWN;

  get size(): number {
    return this.policy.size;
  }

  /** Records how long a use held its connection. */
  served(use: ConnectionRequest['use'], heldMs: number): void {
    this.useTime = afterService(this.useTime, heldMs);
    if (use === 'transaction') return;
    this.statementTime = afterService(this.statementTime, heldMs);
  }

  /** Drops the estimates, as the member may answer differently now. */
  resetEstimates(): void {
    this.statementTime = UNKNOWN;
    this.useTime = UNKNOWN;
  }

  /**
   * Queues a request. A workspace whose queue is full loses its newest request of
   * the least urgent priority, which can be this one.
   */
  add(waiter: PoolWaiter, load: ExpectedLoad, now: number): void {
    if (load.waitMs > this.maxWaitMs(waiter, now)) {
      waiter.refuse('wait-too-long', load);
      return;
    }
    const {workspace, priority, until} = waiter;
    const entry = {workspace, priority, deadline: until, item: waiter};
    if (this.policy.enqueue(entry) === 'queued') return;
    const displaced = this.policy.removeLessUrgent(workspace, priority);
    if (!displaced) {
      waiter.refuse('queue-full', load);
      return;
    }
    displaced.item.refuse('displaced', load);
    this.policy.enqueue(entry);
  }

  dequeue(): QueueEntry<PoolWaiter> | undefined {
    return this.policy.dequeue();
  }

  /** Puts the request that was dequeued last back. */
  requeue(entry: QueueEntry<PoolWaiter>): void {
    this.policy.requeue(entry);
  }

  /** Removes the most urgent request, whichever class's turn it is. */
  dequeueMostUrgent(): QueueEntry<PoolWaiter> | undefined {
    return this.policy.dequeue('most-urgent');
  }

  /** Whether requests wait that are at least as urgent. */
  hasAhead({priority}: ConnectionRequest): boolean {
    return this.policy.hasAhead(priority);
  }

  /** Refuses requests whose wait has ended. */
  refuseExpired(
    awaitedBy: (request: ConnectionRequest) => AwaitedConnections,
    now: number,
  ): void {
    for (const {item} of this.policy.removeExpired(now)) {
      item.refuse('wait-timed-out', this.expectedLoad(item, awaitedBy(item)));
    }
  }

  /** Refuses all requests, as another member may run them. */
  refuseAll(): void {
    for (const {item} of this.policy.removeExpired(Infinity)) {
      item.refuse('pool-drained', {waitMs: 0, intervalMs: 0});
    }
  }

  /**
   * How long a request may be expected to wait. Where the member alone takes most
   * of the time until the answer is due, half of it, as a late answer is better
   * than none; for the same reason, the most urgent one until it must end its wait.
   */
  private maxWaitMs({priority, until, dueAt}: PoolWaiter, now: number): number {
    if (dueAt === undefined || this.isMostUrgent(priority)) return until - now;
    const dueMs = dueAt - now;
    const maxMs = Math.max(dueMs - this.statementTime.meanMs, dueMs / 2);
    return Math.min(until - now, maxMs);
  }

  /** Whether a priority is the most urgent one, and takes few of the grants. */
  isMostUrgent(priority: number): boolean {
    return this.policy.urgentShare(priority) < MAX_URGENT_SHARE;
  }

  /** Returns what a request that is added now can expect. */
  expectedLoad(
    {workspace, priority}: ConnectionRequest,
    {limit, inUse, blockedMs}: AwaitedConnections,
  ): ExpectedLoad {
    const estimate = limit === 'statements' ? this.statementTime : this.useTime;
    const ahead = this.policy.entriesAhead(workspace, priority);
    return {
      waitMs: Math.max(blockedMs, expectedWaitMs(estimate, ahead, inUse)),
      intervalMs: inUse > 0 ? estimate.meanMs / inUse : 0,
    };
  }
}
