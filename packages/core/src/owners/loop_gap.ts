/** A longer time between two runs of the event loop is a gap. */
const MAX_LOOP_GAP_MS = 300;
/** Within this time of a gap a process has read what arrived during it. */
const OLD_CALLS_MS = 250;

/** When the event loop of a process ran. */
export interface LoopState {
  readonly ranAt: number;
  /** When it ran again after the last gap. */
  readonly resumedAt: number;
}

/** The state of an event loop that runs for the first time. */
export function startedLoop(now: number): LoopState {
  return {ranAt: now, resumedAt: -Infinity};
}

/** The event loop ran. */
export function afterLoopRun(state: LoopState, now: number): LoopState {
  const isGap = now - state.ranAt > MAX_LOOP_GAP_MS;
  return {ranAt: now, resumedAt: isGap ? now : state.resumedAt};
}

/**
 * Whether a call that is read now may have arrived before a gap. Its time limit
 * may have passed, as the call only says how much of it was left when it was
 * sent.
 */
export function mayReadOldCalls({resumedAt}: LoopState, now: number): boolean {
  return now - resumedAt < OLD_CALLS_MS;
}
