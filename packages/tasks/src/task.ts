import PQueue from 'p-queue';

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

  /** Called when `handle` throws; the task continues with the next message. */
  protected abstract onFailure(err: unknown): void;

  private async handleSafely(message: M): Promise<void> {
    try {
      await this.handle(message);
    } catch (err) {
      this.onFailure(err);
    }
  }
}
