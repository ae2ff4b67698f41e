/** A statement that waits for a connection. */
export interface QueueEntry<T> {
  readonly workspace: string;
  /** The priority of its route; 0, the default, is the most urgent one. */
  readonly priority?: number;
  /** The time at which the statement stops waiting for a connection. */
  readonly deadline: number;
  readonly item: T;
}

/** Whether a statement was queued. If the queue is full, it is not run. */
export type EnqueueOutcome = 'queued' | 'full';

/** Decides which of the waiting statements gets the next free connection. */
export abstract class QueuePolicy<T> {
  /** Adds an entry, unless the queue is full. */
  abstract enqueue(entry: QueueEntry<T>): EnqueueOutcome;

  /** Removes and returns the entry to serve next. */
  abstract dequeue(): QueueEntry<T> | undefined;

  /** Removes and returns the entries whose deadline has passed. */
  abstract removeExpired(now: number): ReadonlyArray<QueueEntry<T>>;

  /** Counts the entries to be served before a new one of the workspace. */
  abstract entriesAhead(workspace: string, priority?: number): number;

  /** The number of waiting statements. */
  abstract get size(): number;
}
