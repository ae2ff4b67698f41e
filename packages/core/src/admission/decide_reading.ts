import type {Pressure} from './process_budget.js';

/** Up to this use a connection may read until the budget is exceeded. */
export const SMALL_USE_BYTES = 65_536;

/** What the decision whether to read from a connection depends on. */
export interface ReadingState {
  /** Bytes that were received and not answered yet. */
  readonly ownBytes: number;
  readonly maxOwnBytes: number;
  /** The pressure on the process's budget for received bytes. */
  readonly pressure: Pressure;
  /** Whether the connection may complete its message in spite of pressure. */
  readonly permit: 'held' | 'none';
}

/** Whether to read; a connection that waits is not read until it is resumed. */
export type ReadingDecision = 'read' | 'wait-for-own' | 'wait-for-process';

/**
 * Decides whether to read more from a connection. Near the end of the budget
 * only small messages, and a few large ones that hold a permit, go on.
 */
export function decideReading({
  ownBytes,
  maxOwnBytes,
  pressure,
  permit,
}: ReadingState): ReadingDecision {
  if (ownBytes >= maxOwnBytes) return 'wait-for-own';
  if (pressure === 'none' || permit === 'held') return 'read';
  return pressure === 'high' && ownBytes <= SMALL_USE_BYTES
    ? 'read'
    : 'wait-for-process';
}
