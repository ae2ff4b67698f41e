import PQueue from 'p-queue';
import {sleep} from './sleep.js';

/** The pause before a loop that failed is run again. */
const RESTART_PAUSE_MS = 1_000;

/**
 * A unit of concurrency that owns its state and sockets. Messages are handled
 * one at a time in the order of arrival, and no other task accesses the state,
 * so it needs no lock.
 */
export abstract class Task<M> {
  private readonly mailbox = new PQueue({concurrency: 1});
  private stopped = false;

  /**
   * Enqueues a message without waiting until it is handled. A stopped task
   * discards it.
   */
  tell(message: M): void {
    if (this.stopped) return;
    void this.mailbox.add(() => this.handleSafely(message));
  }

  /** Number of messages in the mailbox. */
  get backlog(): number {
    return this.mailbox.size;
  }

  /** Rejects new messages and waits until the queued ones are handled. */
  async stop(): Promise<void> {
    this.stopped = true;
    await this.mailbox.onIdle();
  }

  /**
   * Handles one message. Waiting here for another message of the same task
   * deadlocks, because the task handles one message at a time.
   */
  protected abstract handle(message: M): void | Promise<void>;

  /**
   * Called when `handle` throws, after which the task continues with the next
   * message, or when a loop throws that `keepRunning` runs.
   */
  protected abstract onFailure(err: unknown): void;

  /**
   * Runs a loop that lasts as long as the task; again after a pause whenever it
   * throws.
   */
  protected async keepRunning(loop: () => Promise<void>): Promise<void> {
    let outcome: 'failed' | 'ended' = 'failed';
    while (outcome === 'failed') {
      try {
        await loop();
        outcome = 'ended';
      } catch (err) {
        this.onFailure(err);
        await sleep(RESTART_PAUSE_MS);
      }
    }
  }

  /**
   * Runs work while further messages are handled. An unexpected error is
   * reported like that of a message; it would otherwise end the process.
   */
  protected runInBackground(work: () => Promise<unknown>): void {
    void this.reportFailure(work);
  }

  private handleSafely(message: M): Promise<void> {
    return this.reportFailure(async () => this.handle(message));
  }

  private async reportFailure(work: () => Promise<unknown>): Promise<void> {
    try {
      await work();
    } catch (err) {
      this.onFailure(err);
    }
  }
}
