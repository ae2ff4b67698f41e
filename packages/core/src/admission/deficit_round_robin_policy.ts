import {QueuePolicy} from './queue_policy.js';
import type {EnqueueOutcome, QueueEntry} from './queue_policy.js';

interface WorkspaceQueue<T> {
  entries: Array<QueueEntry<T>>;
  deficit: number;
}

/** What each workspace may use in one round. Equal, so weights are equal. */
const QUANTUM = 1;

/**
 * Serves the workspaces in turn, so that one with many waiting statements does
 * not delay the others. Each statement costs one unit: its execution time is
 * not known before it has run.
 */
export class DeficitRoundRobinPolicy<T> extends QueuePolicy<T> {
  /** Workspaces with waiting statements, in the order of their turns. */
  private readonly queues = new Map<string, WorkspaceQueue<T>>();
  private total = 0;

  /** `limit` bounds the waiting statements of each workspace. */
  constructor(private readonly limit: number) {
    super();
  }

  override enqueue(entry: QueueEntry<T>): EnqueueOutcome {
    const queue = this.queues.get(entry.workspace);
    if (queue && queue.entries.length >= this.limit) return 'full';
    if (queue) {
      queue.entries.push(entry);
    } else {
      this.queues.set(entry.workspace, {entries: [entry], deficit: 0});
    }
    this.total++;
    return 'queued';
  }

  override dequeue(): QueueEntry<T> | undefined {
    for (const [workspace, queue] of this.queues) {
      queue.deficit += QUANTUM;
      // The next turn of the workspace comes after all others.
      this.queues.delete(workspace);
      if (queue.deficit < 1) {
        this.queues.set(workspace, queue);
        continue;
      }
      const entry = queue.entries.shift();
      queue.deficit -= 1;
      // A workspace without waiting statements saves up nothing.
      if (queue.entries.length > 0) this.queues.set(workspace, queue);
      if (entry) this.total--;
      return entry;
    }
    return undefined;
  }

  /** Returns an entry that was taken and could not be served; it comes next. */
  putBack(entry: QueueEntry<T>): void {
    const others = [...this.queues].filter(([key]) => key !== entry.workspace);
    const queue = this.queues.get(entry.workspace) ?? {entries: [], deficit: 0};
    queue.entries.unshift(entry);
    this.queues.clear();
    this.queues.set(entry.workspace, queue);
    for (const [workspace, other] of others) this.queues.set(workspace, other);
    this.total++;
  }

  override removeExpired(now: number): ReadonlyArray<QueueEntry<T>> {
    const expired: Array<QueueEntry<T>> = [];
    for (const [workspace, queue] of this.queues) {
      expired.push(...queue.entries.filter(entry => entry.until <= now));
      queue.entries = queue.entries.filter(entry => entry.until > now);
      if (queue.entries.length === 0) this.queues.delete(workspace);
    }
    this.total -= expired.length;
    return expired;
  }

  /** One turn for each earlier statement of its own, and what others get. */
  override entriesAhead(workspace: string): number {
    const own = this.queues.get(workspace)?.entries.length ?? 0;
    let ahead = own;
    for (const [other, queue] of this.queues) {
      if (other === workspace) continue;
      ahead += Math.min(queue.entries.length, own + 1);
    }
    return ahead;
  }

  override get size(): number {
    return this.total;
  }
}
