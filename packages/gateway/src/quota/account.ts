import type {QuotaLimits, TokenBucket} from '@pistachiorill/core';
import type {Reply} from '@pistachiorill/tasks';

/** Whether an operation got a token; if not, when to try again. */
export type Admission =
  | {readonly kind: 'admitted'}
  | {readonly kind: 'refused'; readonly retryAfterMs: number};

/** The tokens of one workspace on this VM, and who waits for them. */
export interface Account {
  limits: QuotaLimits;
  bucket: TokenBucket;
  waiting: Array<{readonly until: number; readonly reply: Reply<Admission>}>;
  /** When peers may be asked for tokens again. */
  askAt: number;
  /** The peer that last gave tokens; it is asked first. */
  donor: string | undefined;
  /** The peers that had no tokens since the last one that gave some. */
  readonly emptyPeers: Set<string>;
  /** Requests to peers that are not answered yet. */
  pendingRequests: number;
  /** Decisions since the last log record. */
  report: {startedAt: number; admitted: number; refused: number};
}
