import type {Repeatability} from './decide_retry.js';

/** The minimum duration of an attempt, unless the statement's deadline is earlier. */
const MIN_ATTEMPT_MS = 100;

/**
 * Returns the deadline of one attempt, on the clock of `now`. An attempt of a
 * statement that may be repeated gets half of the remaining time, so a second
 * attempt on another member is still possible if the first is not answered.
 */
export function attemptDeadline(
  repeatability: Repeatability,
  deadline: number,
  now: number,
): number {
  if (repeatability === 'once') return deadline;
  const half = (deadline - now) / 2;
  return Math.min(deadline, now + Math.max(MIN_ATTEMPT_MS, half));
}
