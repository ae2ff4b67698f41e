/**
 * Bounds on how far the store's clock is ahead of this VM's clock. Each answer
 * of the store carries a time that it read between the sending of the request
 * and the arrival of the answer.
 */
export interface StoreClock {
  readonly minOffset: number;
  readonly maxOffset: number;
}

export const UNKNOWN_STORE_CLOCK: StoreClock = {
  minOffset: -Infinity,
  maxOffset: Infinity,
};

/** Narrows the bounds by one answer. */
export function afterStoreAnswer(
  clock: StoreClock,
  storeMs: number,
  sentAt: number,
  receivedAt: number,
): StoreClock {
  const minOffset = storeMs - receivedAt;
  const maxOffset = storeMs - sentAt;
  // Bounds that contradict the answer stem from a clock that was wrong.
  if (minOffset > clock.maxOffset || maxOffset < clock.minOffset) {
    return {minOffset, maxOffset};
  }
  return {
    minOffset: Math.max(clock.minOffset, minOffset),
    maxOffset: Math.min(clock.maxOffset, maxOffset),
  };
}

/**
 * Widens the bounds after this VM's clock moved by `skippedMs` at once, of
 * which an unknown part was real time.
 */
export function afterClockSkip(
  clock: StoreClock,
  skippedMs: number,
): StoreClock {
  return {...clock, minOffset: clock.minOffset - skippedMs};
}

/** The latest that the store's clock can show at `now`. */
export function latestStoreTime(clock: StoreClock, now: number): number {
  return now + clock.maxOffset;
}

/** The earliest that the store's clock can show at `now`. */
export function earliestStoreTime(clock: StoreClock, now: number): number {
  return now + clock.minOffset;
}
