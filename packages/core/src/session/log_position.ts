/** A position in the replication log of a group. */
export interface LogPosition {
  /** The term in which the entry was written. */
  readonly term: number;
  /** The index of the entry in the log. */
  readonly position: number;
}

/** The position before the first entry, which every log covers. */
export const LOG_START: LogPosition = {term: 0, position: 0};

/** Compares two log positions; returns a number as a sort comparator does. */
export function compareLogPosition(a: LogPosition, b: LogPosition): number {
  return a.term - b.term || a.position - b.position;
}

/**
 * Returns whether a log that ends at `applied` contains every acknowledged
 * entry up to `required`. A log whose last entry has a higher term contains
 * them, because a promotion preserves all entries that a majority holds.
 */
export function covers(applied: LogPosition, required: LogPosition): boolean {
  return compareLogPosition(applied, required) >= 0;
}
