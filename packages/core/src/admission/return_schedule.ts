import type {Random} from '../common/random.js';

/** The times at which callers whose statements were refused may return. */
export interface ReturnSchedule {
  /** The latest time that was given to a caller. */
  readonly lastAt: number;
}

/** What a refused statement would have waited for. */
export interface ExpectedLoad {
  /** The expected wait for a connection. */
  readonly waitMs: number;
  /** The mean time between two connections that become free. */
  readonly intervalMs: number;
}

export const EMPTY_RETURN_SCHEDULE: ReturnSchedule = {lastAt: -Infinity};

/**
 * Returning callers get this share of the connections that become free; the rest
 * is left for first attempts.
 */
const RETURN_SHARE = 0.5;
const MIN_DELAY_MS = 25;
const MAX_DELAY_MS = 1_000;

/**
 * Returns the delay after which a refused caller may return: after the statements
 * that wait are served, and one after another at a rate that can be served.
 */
export function scheduleReturn(
  {lastAt}: ReturnSchedule,
  {waitMs, intervalMs}: ExpectedLoad,
  random: Random | undefined,
  now: number,
): {readonly schedule: ReturnSchedule; readonly delayMs: number} {
  const earliest = now + Math.max(MIN_DELAY_MS, waitMs);
  const inTurn = lastAt + intervalMs / RETURN_SHARE;
  const at = Math.min(now + MAX_DELAY_MS, Math.max(earliest, inTurn));
  return {schedule: {lastAt: at}, delayMs: withJitter(at - now, random)};
}

/** Spreads a delay from half to one and a half of it, in whole milliseconds. */
export function withJitter(
  delayMs: number,
  random: Random | undefined,
): number {
  return Math.round(random ? delayMs * (0.5 + random.fraction()) : delayMs);
}
