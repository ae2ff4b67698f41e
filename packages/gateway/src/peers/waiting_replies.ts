/**
 * Requests of peers that wait for the next change, each for a limited time. A
 * request is answered by the function that it was added with.
 */
export class WaitingReplies {
  private readonly waiting = new Map<() => void, NodeJS.Timeout>();

  /** Calls `answer` at the next `release`, or after `waitMs`. */
  add(answer: () => void, waitMs: number): void {
    const timer = setTimeout(() => this.answer(answer), waitMs);
    this.waiting.set(answer, timer);
  }

  /** Answers all waiting requests. */
  release(): void {
    for (const answer of [...this.waiting.keys()]) this.answer(answer);
  }

  private answer(answer: () => void): void {
    clearTimeout(this.waiting.get(answer));
    this.waiting.delete(answer);
    answer();
  }
}
