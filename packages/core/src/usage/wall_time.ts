/**
 * An estimate of the wall-clock time from a clock that does not jump. A jump of
 * the wall clock is an outlier among the readings until it has lasted for half
 * of the time that they span, so that it moves no counts to other windows.
 */
export interface WallTime {
  /** How far the wall clock was ahead at each reading, the newest last. */
  readonly offsets: readonly number[];
  readonly medianOffset: number;
  /** A skip of this VM's clock whose cause is not known yet. */
  readonly skip: ClockSkip | undefined;
}

/** A forward jump of the wall clock, which this VM's clock followed. */
interface ClockSkip {
  readonly skippedMs: number;
  /** The largest offset of the store's clock before the jump. */
  readonly storeOffsetBefore: number;
}

/** The pause between two readings. */
export const READING_INTERVAL_MS = 5_000;
/** Readings of ten minutes. */
const MAX_READINGS = 120;
/** The estimate before the first reading. */
export const NO_WALL_TIME: WallTime = {
  offsets: [],
  medianOffset: 0,
  skip: undefined,
};

/** Adds a reading of the wall clock. */
export function noteReading(
  time: WallTime,
  wallMs: number,
  now: number,
): WallTime {
  const offsets = [...time.offsets, wallMs - now].slice(-MAX_READINGS);
  const sorted = [...offsets].sort((a, b) => a - b);
  const medianOffset = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  return {...time, offsets, medianOffset};
}

/** The estimated wall-clock time at `now`. */
export function wallTimeAt({medianOffset}: WallTime, now: number): number {
  return now + medianOffset;
}

/**
 * Takes a forward jump of the wall clock, which this VM's clock counts as elapsed
 * time, as one of the wall clock alone until the store's clock tells otherwise.
 */
export function noteClockSkip(
  time: WallTime,
  skippedMs: number,
  storeOffsetBefore: number,
): WallTime {
  return {
    ...shiftBy(time, -skippedMs),
    skip: time.skip
      ? {...time.skip, skippedMs: time.skip.skippedMs + skippedMs}
      : {skippedMs, storeOffsetBefore},
  };
}

/**
 * Tells from the store's clock, which is steady, whether the machine was
 * suspended during the last jump; the time did elapse then. A jump widens the
 * bounds by its size until the store answers.
 */
export function resolveClockSkip(
  time: WallTime,
  storeClock: {readonly minOffset: number; readonly maxOffset: number},
): WallTime {
  const {skip} = time;
  if (!skip) return time;
  const {minOffset, maxOffset} = storeClock;
  if (!(maxOffset - minOffset < skip.skippedMs / 2)) return time;
  const fellByMs = skip.storeOffsetBefore - maxOffset;
  const resolved = {...time, skip: undefined};
  return fellByMs < skip.skippedMs / 2
    ? shiftBy(resolved, skip.skippedMs)
    : resolved;
}

function shiftBy(time: WallTime, byMs: number): WallTime {
  return {
    ...time,
    offsets: time.offsets.map(offset => offset + byMs),
    medianOffset: time.medianOffset + byMs,
  };
}
