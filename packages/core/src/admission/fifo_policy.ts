import {QueuePolicy} from './queue_policy.js';
import type {EnqueueOutcome, QueueEntry} from './queue_policy.js';

/** Serves statements in order of arrival; the baseline to measure fairness. */
export class FifoPolicy<T> extends QueuePolicy<T> {
  private entries: Array<QueueEntry<T>> = [];

  /** `limit` bounds the waiting statements of all workspaces together. */
  constructor(private readonly limit: number) {
    super();
  }

  override enqueue(entry: QueueEntry<T>): EnqueueOutcome {
    if (this.entries.length >= this.limit) return 'full';
    this.entries.push(entry);
    return 'queued';
  }

  override dequeue(): QueueEntry<T> | undefined {
    return this.entries.shift();
  }

  override removeExpired(now: number): ReadonlyArray<QueueEntry<T>> {
    const expired = this.entries.filter(entry => entry.deadline <= now);
    this.entries = this.entries.filter(entry => entry.deadline > now);
    return expired;
  }

  override entriesAhead(): number {
    return this.entries.length;
  }

  override get size(): number {
    return this.entries.length;
  }
}
