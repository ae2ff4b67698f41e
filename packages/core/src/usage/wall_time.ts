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

/**
 * Adds a reading of the wall clock. The first one counts as if it had been made
 * for ten minutes, so that a jump soon after the start is an outlier too.
 */
export function noteReading(
  time: WallTime,
  wallMs: number,
  now: number,
): WallTime {
  const offset = wallMs - now;
  const before = time.offsets.length === 0 ? fill(offset) : time.offsets;
  const offsets = [...before.slice(1), offset];
  return {...time, offsets, medianOffset: medianOf(offsets)};
}

function fill(offset: number): readonly number[] {
  return Array.from({length: MAX_READINGS}, () => offset);
}

/** The median of numbers; the lower one of the two in the middle. */
export function medianOf(numbers: readonly number[]): number {
  const sorted = [...numbers].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

/** A VM that differs from others by less keeps its own time. */
export const MAX_DEVIATION_MS = 1_000;

/**
 * Returns by how much a VM corrects its estimate, given how far other VMs are
 * ahead of it: not at all unless it differs from more than half of the VMs. A
 * process that started while its wall clock was wrong has no other way to tell.
 */
export function deviationOf(aheadMs: readonly number[]): number {
  const different = aheadMs.filter(ms => Math.abs(ms) > MAX_DEVIATION_MS);
  const isMajority = different.length * 2 > aheadMs.length + 1;
  return isMajority ? medianOf(different) : 0;
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

/** Corrects the estimate and the readings that it is made from. */
export function shiftBy(time: WallTime, byMs: number): WallTime {
  return {
    ...time,
    offsets: time.offsets.map(offset => offset + byMs),
    medianOffset: time.medianOffset + byMs,
  };
}
