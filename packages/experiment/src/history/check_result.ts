/** Which consistency guarantee a history violates. */
export type ViolationKind =
  /** An acknowledged write is not present at the end. */
  | 'lost'
  /** A write is present more than once. */
  | 'doubled'
  /**
   * A read did not return a write of its own session, or one that was
   * acknowledged longer ago than the read's maximum age.
   */
  | 'stale'
  /** A read received the response to another request. */
  | 'foreign-answer'
  /** A write that was reported as not run or failed is present. */
  | 'false-refusal'
  /** A commit was acknowledged after the transaction was reported as lost. */
  | 'acknowledged-after-refusal'
  /** Only a part of a transaction is present. */
  | 'torn';

/** One violation that the checker found. */
export interface Violation {
  readonly kind: ViolationKind;
  readonly detail: string;
}

/** The counts of a history and the violations that the checker found in it. */
export interface CheckResult {
  readonly writes: number;
  readonly reads: number;
  readonly acknowledged: number;
  readonly unknown: number;
  readonly counts: Readonly<Record<ViolationKind, number>>;
  /** The first violations of each kind. */
  readonly examples: readonly Violation[];
}
