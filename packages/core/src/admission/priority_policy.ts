import {DeficitRoundRobinPolicy} from './deficit_round_robin_policy.js';
import {QueuePolicy} from './queue_policy.js';
import type {EnqueueOutcome, QueueEntry} from './queue_policy.js';

/** One grant in this number goes to the less urgent waiting classes in turn. */
const LESS_URGENT_TURN = 8;
/** The weight of the latest grant in the moving average of the shares. */
const SHARE_WEIGHT = 0.05;

/** The waiting statements of one priority. */
interface PriorityClass<T> {
  readonly priority: number;
  readonly queue: DeficitRoundRobinPolicy<T>;
  /** The share of recent grants that went to this class. */
  share: number;
}

/**
 * Serves the most urgent class first (0 is the most urgent) and the workspaces of
 * a class in turn. A part of the grants goes to the less urgent classes in turn, so
 * that none is starved. With one class only, the order is that of
 * `DeficitRoundRobinPolicy`.
 */
export class PriorityPolicy<T> extends QueuePolicy<T> {
  /** The most urgent class first. */
  private readonly classes: Array<PriorityClass<T>> = [];
  private readonly countByWorkspace = new Map<string, number>();
  private turn = 0;
  private lessUrgentTurn = 0;
  /** Restores the turn and the shares if the last grant was not possible. */
  private undoGrant: () => void = () => undefined;

  /** `limit` bounds the waiting statements of each workspace. */
  constructor(private readonly limit: number) {
    super();
  }

  override enqueue(entry: QueueEntry<T>): EnqueueOutcome {
    const {workspace, priority = 0} = entry;
    const count = this.countByWorkspace.get(workspace) ?? 0;
    if (count >= this.limit) return 'full';
    this.countByWorkspace.set(workspace, count + 1);
    this.classOf(priority).queue.enqueue(entry);
    return 'queued';
  }

  override dequeue(
    order: 'by-turns' | 'most-urgent' = 'by-turns',
  ): QueueEntry<T> | undefined {
    const waiting = this.classes.filter(({queue}) => queue.size > 0);
    const {turn, lessUrgentTurn} = this;
    const shares = this.classes.map(({share}) => share);
    this.undoGrant = () => {
      this.turn = turn;
      this.lessUrgentTurn = lessUrgentTurn;
      shares.forEach((share, index) => {
        const item = this.classes[index];
        if (item) item.share = share;
      });
    };
    const hasTurns = waiting.length > 1 && order === 'by-turns';
    if (hasTurns) this.turn = (turn + 1) % LESS_URGENT_TURN;
    const isLessUrgentTurn = hasTurns && this.turn === 0;
    if (isLessUrgentTurn) this.lessUrgentTurn++;
    const next = isLessUrgentTurn
      ? waiting[waiting.length - 1 - (lessUrgentTurn % (waiting.length - 1))]
      : waiting[0];
    const entry = next?.queue.dequeue();
    if (!entry) return undefined;
    this.uncount(entry);
    for (const item of this.classes) {
      item.share += ((item === next ? 1 : 0) - item.share) * SHARE_WEIGHT;
    }
    return entry;
  }

  /** Puts the entry that was dequeued last back at the front. */
  requeue(entry: QueueEntry<T>): void {
    const {workspace, priority = 0} = entry;
    this.undoGrant();
    this.classOf(priority).queue.requeue(entry);
    const count = this.countByWorkspace.get(workspace) ?? 0;
    this.countByWorkspace.set(workspace, count + 1);
  }

  /**
   * Removes the newest of the workspace's least urgent entries, if it is less
   * urgent than `priority`.
   */
  removeLessUrgent(
    workspace: string,
    priority: number,
  ): QueueEntry<T> | undefined {
    for (const item of [...this.classes].reverse()) {
      if (item.priority <= priority) return undefined;
      const entry = item.queue.removeNewest(workspace);
      if (!entry) continue;
      this.uncount(entry);
      return entry;
    }
    return undefined;
  }

  override removeExpired(now: number): ReadonlyArray<QueueEntry<T>> {
    const expired = this.classes.flatMap(({queue}) => queue.removeExpired(now));
    for (const entry of expired) this.uncount(entry);
    return expired;
  }

  /**
   * Counts the more urgent entries and those ahead in the class. More urgent ones
   * that arrive meanwhile are expected by their share of the recent grants.
   */
  override entriesAhead(workspace: string, priority = 0): number {
    let ahead = this.classOf(priority).queue.entriesAhead(workspace);
    let urgentShare = 0;
    let hasLessUrgent = false;
    for (const item of this.classes) {
      if (item.priority < priority) {
        ahead += item.queue.size;
        urgentShare += item.share;
      } else if (item.priority > priority && item.queue.size > 0) {
        hasLessUrgent = true;
      }
    }
    const least = 1 / LESS_URGENT_TURN;
    const share = hasLessUrgent
      ? Math.max(least, 1 - urgentShare - least)
      : Math.max(least, 1 - urgentShare);
    return (ahead + 1) / share - 1;
  }

  /** Whether entries wait that are at least as urgent. */
  hasAhead(priority: number): boolean {
    return this.classes.some(
      item => item.priority <= priority && item.queue.size > 0,
    );
  }

  /**
   * The share of recent grants of the most urgent class; 1 for the other classes,
   * and where there is only one.
   */
  urgentShare(priority: number): number {
    const [first] = this.classes;
    if (first?.priority !== priority || this.classes.length === 1) return 1;
    return first.share;
  }

  override get size(): number {
    return this.classes.reduce((sum, {queue}) => sum + queue.size, 0);
  }

  private classOf(priority: number): PriorityClass<T> {
    const found = this.classes.find(item => item.priority === priority);
    if (found) return found;
    const queue = new DeficitRoundRobinPolicy<T>(Infinity);
    const added = {priority, queue, share: 0};
    this.classes.push(added);
    this.classes.sort((a, b) => a.priority - b.priority);
    return added;
  }

  private uncount({workspace}: QueueEntry<T>): void {
    const count = (this.countByWorkspace.get(workspace) ?? 0) - 1;
    if (count > 0) this.countByWorkspace.set(workspace, count);
    else this.countByWorkspace.delete(workspace);
  }
}
