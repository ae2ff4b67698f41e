import {QueuePolicy} from './queue_policy.js';
import type {EnqueueOutcome, QueueEntry} from './queue_policy.js';

/** The waiting statements of one workspace. */
interface WorkspaceQueue<T> {
  entries: Array<QueueEntry<T>>;
  /** The unused cost units carried over from earlier turns. */
  deficit: number;
}

/** The cost units added per turn; the same for all, so weights are equal. */
const QUANTUM = 1;

/**
 * Serves the workspaces in turn, so that a workspace with many waiting
 * statements does not delay the others. Each statement costs one unit, since its
 * execution time is unknown in advance.
 */
export class DeficitRoundRobinPolicy<T> extends QueuePolicy<T> {
  /** Workspaces with waiting statements, in the order of their turns. */
  private readonly active = new Map<string, WorkspaceQueue<T>>();
  private total = 0;

  /** `limit` bounds the waiting statements of each workspace. */
  constructor(private readonly limit: number) {
    super();
  }

  override enqueue(entry: QueueEntry<T>): EnqueueOutcome {
    const queue = this.active.get(entry.workspace);
    if (queue && queue.entries.length >= this.limit) return 'full';
    if (queue) {
      queue.entries.push(entry);
    } else {
      this.active.set(entry.workspace, {entries: [entry], deficit: 0});
    }
    this.total++;
    return 'queued';
  }

  override dequeue(): QueueEntry<T> | undefined {
    for (const [workspace, queue] of this.active) {
      queue.deficit += QUANTUM;
      // The workspace's next turn comes after those of all others.
      this.active.delete(workspace);
      if (queue.deficit < 1) {
        this.active.set(workspace, queue);
        continue;
      }
      const entry = queue.entries.shift();
      queue.deficit -= 1;
      // A workspace without waiting statements accumulates no deficit.
      if (queue.entries.length > 0) this.active.set(workspace, queue);
      if (entry) this.total--;
      return entry;
    }
    return undefined;
  }

  /** Puts a dequeued entry that could not be served back at the front. */
  requeue(entry: QueueEntry<T>): void {
    const others = [...this.active].filter(([key]) => key !== entry.workspace);
    const queue = this.active.get(entry.workspace) ?? {entries: [], deficit: 0};
    queue.entries.unshift(entry);
    this.active.clear();
    this.active.set(entry.workspace, queue);
    for (const [workspace, other] of others) this.active.set(workspace, other);
    this.total++;
  }

  /** Removes the newest entry of a workspace. */
  removeNewest(workspace: string): QueueEntry<T> | undefined {
    const queue = this.active.get(workspace);
    const entry = queue?.entries.pop();
    if (queue?.entries.length === 0) this.active.delete(workspace);
    if (entry) this.total--;
    return entry;
  }

  override removeExpired(now: number): ReadonlyArray<QueueEntry<T>> {
    const expired: Array<QueueEntry<T>> = [];
    for (const [workspace, queue] of this.active) {
      expired.push(...queue.entries.filter(entry => entry.deadline <= now));
      queue.entries = queue.entries.filter(entry => entry.deadline > now);
      if (queue.entries.length === 0) this.active.delete(workspace);
    }
    this.total -= expired.length;
    return expired;
  }

  /**
   * Counts the workspace's own entries and, for each other workspace, up to one
   * more than that number, since workspaces take turns.
   */
  override entriesAhead(workspace: string): number {
    const own = this.active.get(workspace)?.entries.length ?? 0;
    let ahead = own;
    for (const [other, queue] of this.active) {
      if (other === workspace) continue;
      ahead += Math.min(queue.entries.length, own + 1);
    }
    return ahead;
  }

  override get size(): number {
    return this.total;
  }
}
