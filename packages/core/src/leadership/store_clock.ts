/**
 * Bounds, in milliseconds, of how far the store's clock is ahead of this VM's.
 * Each answer of the store carries a time that the store read between the
 * sending of the request and the arrival of the answer.
 */
export interface StoreClock {
  readonly minOffset: number;
  readonly maxOffset: number;
}

/** The bounds before the first answer of the store. */
export const UNKNOWN_STORE_CLOCK: StoreClock = {
  minOffset: -Infinity,
  maxOffset: Infinity,
};

/** Narrows the bounds with one answer of the store. */
export function narrowStoreClock(
  clock: StoreClock,
  storeMs: number,
  sentAt: number,
  receivedAt: number,
): StoreClock {
  return narrowStoreClockTo(clock, {
    minOffset: storeMs - receivedAt,
    maxOffset: storeMs - sentAt,
  });
}

/** Narrows the bounds to those of another VM or of one answer. */
export function narrowStoreClockTo(
  clock: StoreClock,
  bounds: StoreClock,
): StoreClock {
  const {minOffset, maxOffset} = bounds;
  // Bounds that contradict the answer come from a clock that was wrong, so only
  // the answer counts.
  if (minOffset > clock.maxOffset || maxOffset < clock.minOffset) {
    return bounds;
  }
  return {
    minOffset: Math.max(clock.minOffset, minOffset),
    maxOffset: Math.min(clock.maxOffset, maxOffset),
  };
}

/**
 * Widens the bounds after this VM's clock jumped by `skippedMs`, of which an
 * unknown part was elapsed time.
 */
export function widenStoreClock(
  clock: StoreClock,
  skippedMs: number,
): StoreClock {
  return {...clock, minOffset: clock.minOffset - skippedMs};
}

/** Returns the latest time that the store's clock can show at `now`. */
export function latestStoreTime(clock: StoreClock, now: number): number {
  return now + clock.maxOffset;
}

/** Returns the earliest time that the store's clock can show at `now`. */
export function earliestStoreTime(clock: StoreClock, now: number): number {
  return now + clock.minOffset;
}
