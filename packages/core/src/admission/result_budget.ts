/** Results up to this size are never refused for the sake of others. */
const UNSHARED_BYTES = 1_048_576;

/** What happens to a result that grows. */
export type ResultDecision = 'keep' | 'too-large' | 'too-many';

/** Counts the bytes of the results that members send at a time. */
export class ResultBudget {
  private used = 0;

  /** `resultBytes` limits one result, `totalBytes` all together. */
  constructor(
    readonly resultBytes: number,
    private readonly totalBytes: number,
  ) {}

  /** Adds bytes to a result, of which `received` arrived before. */
  add(received: number, bytes: number): ResultDecision {
    this.used += bytes;
    if (received + bytes > this.resultBytes) return 'too-large';
    return this.used > this.totalBytes && received + bytes > UNSHARED_BYTES
      ? 'too-many'
      : 'keep';
  }

  /** Ends a result of which `received` bytes arrived. */
  release(received: number): void {
    this.used -= received;
  }
}
