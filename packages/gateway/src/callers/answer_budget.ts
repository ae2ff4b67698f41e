import type {LimitReporter} from './limit_reporter.js';

/** Large answers must not take the short ones of other callers with them. */
const SMALL_ANSWER_BYTES = 65_536;

/**
 * Counts the bytes of members' answers that are not complete. They are kept as
 * a whole, as an answer counts only with its end.
 */
export class AnswerBudget {
  private heldBytes = 0;

  constructor(
    private readonly maxAnswerBytes: number,
    private readonly maxTotalBytes: number,
    private readonly reporter: Pick<LimitReporter, 'exceeded'>,
  ) {}

  /** Counts a change of an answer from one size to another. */
  change(
    beforeBytes: number,
    afterBytes: number,
    address: string,
  ): 'allowed' | 'exceeded' {
    this.heldBytes += afterBytes - beforeBytes;
    if (afterBytes <= beforeBytes) return 'allowed';
    if (afterBytes > this.maxAnswerBytes) {
      this.reporter.exceeded('answer-size', 'members', address);
      return 'exceeded';
    }
    if (
      afterBytes > SMALL_ANSWER_BYTES &&
      this.heldBytes > this.maxTotalBytes
    ) {
      this.reporter.exceeded('process-memory', 'members', address);
      return 'exceeded';
    }
    return 'allowed';
  }
}
