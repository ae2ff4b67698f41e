/** A connection that may be closed to free memory. */
export interface SheddingCandidate<T> {
  readonly connection: T;
  /** What the connection is charged for. */
  readonly bytes: number;
  /** What the budget gets back if it is closed. */
  readonly freedBytes: number;
  /** Answers that the client got so far. */
  readonly answered: number;
  /** An open transaction whose answers are read is not given up. */
  readonly protection: 'none' | 'transaction';
}

/**
 * Selects the connections to close so that at least `excessBytes` are freed:
 * those first that use the most and were served least. The logarithm keeps a
 * client from earning the right to a large use by many small requests.
 */
export function selectForShedding<T>(
  candidates: ReadonlyArray<SheddingCandidate<T>>,
  excessBytes: number,
): readonly T[] {
  const ordered = candidates
    .filter(({protection, bytes}) => protection === 'none' && bytes > 0)
    .map(item => ({...item, cost: item.bytes / Math.log2(2 + item.answered)}))
    .sort((a, b) => b.cost - a.cost);
  const selected: T[] = [];
  let freedBytes = 0;
  for (const item of ordered) {
    if (freedBytes >= excessBytes) break;
    selected.push(item.connection);
    freedBytes += item.freedBytes;
  }
  return selected;
}
