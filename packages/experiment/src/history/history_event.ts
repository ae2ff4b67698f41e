/** The outcome of a write that was reported to its caller. */
export type WriteOutcome = 'acknowledged' | 'not-run' | 'unknown' | 'failed';

interface TimedEvent {
  readonly session: string;
  /** When the client sent the request, in milliseconds of its clock. */
  readonly startedAt: number;
  readonly endedAt: number;
}

/** One attempt at a write; attempts with the same request id have one `write`. */
export interface WriteEvent extends TimedEvent {
  readonly kind: 'write';
  readonly write: string;
  readonly outcome: WriteOutcome;
}

/** One transaction of several writes. */
export interface TransactionEvent extends TimedEvent {
  readonly kind: 'transaction';
  readonly writes: readonly string[];
  readonly outcome: WriteOutcome;
  /** `lost` if a statement before COMMIT failed with a lost transaction. */
  readonly beforeCommit: 'running' | 'lost';
}

/**
 * A read that searches for one write. The statement also selects the unique
 * `value`, so that a response to another request is detected.
 */
export interface ReadEvent extends TimedEvent {
  readonly kind: 'read';
  readonly value: string;
  /** The value in the response; differs from `value` in a violation. */
  readonly answeredValue: string;
  /** The write that the read searches for. */
  readonly target: string;
  /** How many copies of the target the read found. */
  readonly found: number;
  /** The age of the data that the read allows; 0 for a strict read. */
  readonly maxAgeMs: number;
}

/** A request with its outcome; a history lists them in the order they ended. */
export type HistoryEvent = WriteEvent | TransactionEvent | ReadEvent;

/** The number of copies of each write in the databases at the end. */
export type Contents = ReadonlyMap<string, number>;
