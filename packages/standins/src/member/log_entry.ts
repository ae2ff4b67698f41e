/** One committed transaction in a group's log. */
export interface LogEntry {
  /** The term of the primary that committed the transaction. */
  readonly term: number;
  /** Index in the log; the first entry has position 1. */
  readonly position: number;
  readonly statements: readonly string[];
}
