import {afterService, expectedWaitMs, fail, ok} from '@pistachiorill/core';
import type {
  QueuePolicy,
  Refusal,
  Result,
  ServiceTimeEstimate,
} from '@pistachiorill/core';
import type {Reply} from '@pistachiorill/tasks';
import type {BackendTask} from '../backend/backend_task.js';
import type {CheckoutUse, Reuse} from './group_message.js';

/** A request for a connection. */
interface CheckoutRequest {
  readonly workspace: string;
  readonly use: CheckoutUse;
  /** Time at which the request is refused if no connection became free. */
  readonly until: number;
  readonly reply: Reply<Result<BackendTask, Refusal>>;
}

/** What a connection is checked out for, and since when. */
interface Checkout {
  readonly use: CheckoutUse;
  readonly since: number;
}

/** The part of a member's capacity that a pool may use. */
export interface PoolLimits {
  /** The number of connections that this VM may open. */
  readonly connections: number;
  /** The number of statements that the member executes at a time. */
  readonly slots: number;
}

type CheckoutReply = Reply<Result<BackendTask, Refusal>>;

/** Requests of one kind that wait, and the estimated time of a checkout. */
interface CheckoutQueue {
  readonly queue: QueuePolicy<CheckoutReply>;
  service: ServiceTimeEstimate;
}

/**
 * Pools the data connections of this VM to one member and queues the requests
 * for them. Owned by the `GroupTask`. Checkouts for autocommit statements are
 * limited to the member's slots, so that statements wait here, where the queue
 * is fair, and not in the backend server. A transaction keeps its connection
 * between its statements, so it uses no slot; transactions are limited only
 * by the number of connections.
 */
export class ConnectionPool {
  private readonly idle: BackendTask[] = [];
  private readonly checkouts = new Map<BackendTask, Checkout>();
  private readonly queues: Readonly<Record<CheckoutUse, CheckoutQueue>>;
  /** The queue to serve first; alternates after each checkout. */
  private nextUse: CheckoutUse = 'statement';
  private state: 'open' | 'draining' = 'open';

  constructor(
    private limits: PoolLimits,
    newQueue: () => QueuePolicy<CheckoutReply>,
    private readonly open: () => BackendTask,
  ) {
    this.queues = {
      statement: {queue: newQueue(), service: {meanMs: 0}},
      transaction: {queue: newQueue(), service: {meanMs: 0}},
    };
  }

  /** The number of checkouts and of requests that wait for a connection. */
  get activeOrWaiting(): number {
    return this.checkouts.size + this.waiting;
  }

  /** The number of requests that wait for a connection. */
  get waiting(): number {
    const {statement, transaction} = this.queues;
    return statement.queue.size + transaction.queue.size;
  }

  /** The number of transactions that hold a connection. */
  get transactions(): number {
    return this.checkoutsFor('transaction');
  }

  /**
   * Sets new limits and closes idle connections that exceed them. Opens a
   * draining pool again.
   */
  setLimits(limits: PoolLimits, now: number): void {
    this.state = 'open';
    this.limits = limits;
    while (
      this.idle.length > 0 &&
      this.idle.length + this.checkouts.size > limits.connections
    ) {
      this.idle.pop()?.tell({kind: 'close'});
    }
    this.serve(now);
  }

  /**
   * Answers the request with a connection once one is free. Refuses it as
   * overloaded if the expected wait exceeds its time limit or the queue of its
   * workspace is full.
   */
  acquire(request: CheckoutRequest, now: number): void {
    const {use, workspace, until, reply} = request;
    if (this.state === 'draining') {
      const detail = 'the member takes no new statements';
      reply.answer(fail({kind: 'no-member', detail}));
      return;
    }
    const {queue, service} = this.queues[use];
    if (!this.canCheckOut(use) || queue.size > 0) {
      const wait = expectedWaitMs(
        service,
        queue.entriesAhead(workspace),
        this.maxCheckouts(use),
      );
      if (now + wait > until) {
        refuseOverloaded(reply, `the expected wait is ${Math.ceil(wait)} ms`);
        return;
      }
    }
    if (queue.enqueue({workspace, deadline: until, item: reply}) === 'full') {
      refuseOverloaded(
        reply,
        'too many statements of the workspace are waiting',
      );
      return;
    }
    this.serve(now);
  }

  /**
   * Returns a connection to the pool. The result is false if it was not checked
   * out from this pool.
   */
  release(backend: BackendTask, reuse: Reuse, now: number): boolean {
    const checkout = this.checkouts.get(backend);
    if (!checkout) return false;
    this.checkouts.delete(backend);
    const queue = this.queues[checkout.use];
    queue.service = afterService(queue.service, now - checkout.since);
    if (reuse === 'reuse' && this.checkouts.size < this.limits.connections) {
      this.idle.push(backend);
    } else {
      backend.tell({kind: 'close'});
    }
    this.serve(now);
    return true;
  }

  /**
   * Closes all connections and refuses all waiting requests, because the member
   * was replaced as primary and may never answer. Closing a connection ends the
   * statement that runs on it.
   */
  abandon(): void {
    for (const backend of [...this.idle, ...this.checkouts.keys()]) {
      backend.tell({kind: 'close'});
    }
    this.idle.length = 0;
    this.refuseAll('the primary was replaced');
  }

  /** Refuses the requests whose time limit has passed. */
  refuseExpired(now: number): void {
    for (const {queue} of Object.values(this.queues)) {
      for (const entry of queue.removeExpired(now)) {
        refuseOverloaded(entry.item, 'no connection became free in time');
      }
    }
  }

  /**
   * Refuses new requests until `setLimits` is called. Checked-out connections
   * are closed when they are returned. Waiting requests are refused as not run,
   * since another member may serve them.
   */
  drain(): void {
    this.state = 'draining';
    this.limits = {...this.limits, connections: 0};
    for (const backend of this.idle) backend.tell({kind: 'close'});
    this.idle.length = 0;
    this.refuseAll('the member takes no new statements');
  }

  private refuseAll(detail: string): void {
    for (const {queue} of Object.values(this.queues)) {
      for (const entry of queue.removeExpired(Infinity)) {
        entry.item.answer(fail({kind: 'no-member', detail}));
      }
    }
  }

  /** Takes an idle connection; skips those the backend server has closed. */
  private takeIdle(): BackendTask | undefined {
    let backend = this.idle.pop();
    while (backend && !backend.usable) backend = this.idle.pop();
    return backend;
  }

  /** Checks out connections to waiting requests, in turn from both queues. */
  private serve(now: number): void {
    this.refuseExpired(now);
    for (;;) {
      const other = otherUse(this.nextUse);
      const use = [this.nextUse, other].find(
        item => this.queues[item].queue.size > 0 && this.canCheckOut(item),
      );
      if (use === undefined) return;
      this.nextUse = otherUse(use);
      const entry = this.queues[use].queue.dequeue();
      if (!entry) return;
      const backend = this.takeIdle() ?? this.open();
      this.checkouts.set(backend, {use, since: now});
      entry.item.answer(ok(backend));
    }
  }

  private canCheckOut(use: CheckoutUse): boolean {
    if (this.checkouts.size >= this.limits.connections) return false;
    return use === 'transaction' || this.checkoutsFor(use) < this.limits.slots;
  }

  /** The number of checkouts of this kind that are possible at a time. */
  private maxCheckouts(use: CheckoutUse): number {
    const free = this.limits.connections - this.checkoutsFor(otherUse(use));
    const limit = use === 'statement' ? this.limits.slots : Infinity;
    return Math.max(1, Math.min(free, limit));
  }

  private checkoutsFor(use: CheckoutUse): number {
    let count = 0;
    for (const item of this.checkouts.values()) if (item.use === use) count++;
    return count;
  }
}

function otherUse(use: CheckoutUse): CheckoutUse {
  return use === 'statement' ? 'transaction' : 'statement';
}

function refuseOverloaded(reply: CheckoutReply, detail: string): void {
  reply.answer(fail({kind: 'overloaded', detail}));
}
