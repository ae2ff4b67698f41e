/** Why the concurrent statements at a member are limited. */
export type LimitReason =
  /** The member was listed for the first time or has restarted. */
  | 'started'
  /** The member responds again after failures. */
  | 'recovered'
  | 'promoted'
  /** The member refused a statement as busy. */
  | 'busy'
  | 'failing'
  /** Its latency is far above its baseline. */
  | 'slow';

/**
 * The limit on the concurrent statements of this VM at a member, derived from
 * the member's answers. Starts at 1, at most doubles per round trip up to
 * `threshold`, then grows by one per round trip.
 */
export interface AdaptiveConcurrency {
  /** `none` in normal operation, in which `limit` has no effect. */
  readonly reason: LimitReason | 'none';
  /** Below 1, a pause follows each statement. */
  readonly limit: number;
  /** Half of the limit at which the member last showed trouble. */
  readonly threshold: number;
  /** The latency without queueing at the member; undefined if unknown. */
  readonly baselineMs: number | undefined;
  /** The number of answers from which the baseline was derived. */
  readonly baselineCount: number;
  /** The moving average of the latency since the last decrease. */
  readonly recentMs: number;
  readonly recentCount: number;
  /** Answers to statements sent before this time have no effect. */
  readonly decreasedAt: number;
  readonly pausedUntil: number;
  /** The start of the current round trip, and the highest limit in it. */
  readonly roundAt: number;
  readonly roundMaximum: number;
  /** The number of normal answers at the full limit. */
  readonly answersAtFull: number;
  /** The time of the last start or recovery. */
  readonly startedAt: number;
  readonly failedAt: number;
  /** How long the member must answer normally before the limit is lifted. */
  readonly cautionMs: number;
  /** The moving average of the share of failed statements. */
  readonly failureShare: number;
}

/** A statement that a member answered. */
export interface AnsweredStatement {
  readonly sentAt: number;
  /** The statements of this VM at the member, including this one. */
  readonly inFlight: number;
  /** The limit in normal operation. */
  readonly full: number;
}

/** The state of a member in normal operation. */
export const UNLIMITED_CONCURRENCY: AdaptiveConcurrency = {
  reason: 'none',
  limit: Infinity,
  threshold: Infinity,
  baselineMs: undefined,
  baselineCount: 0,
  recentMs: 0,
  recentCount: 0,
  decreasedAt: -Infinity,
  pausedUntil: -Infinity,
  roundAt: -Infinity,
  roundMaximum: Infinity,
  answersAtFull: 0,
  startedAt: -Infinity,
  failedAt: -Infinity,
  cautionMs: 0,
  failureShare: 0,
};

const BUSY_FACTOR = 0.5;
const SLOW_FACTOR = 0.7;
/**
 * The lowest limit after refusals. Where VMs outnumber the statements that a
 * member accepts, one statement of each VM at a time is too much already.
 */
const MIN_LIMIT = 1 / 8;
/** The growth of a limit below 1 with each answer. */
const LOW_LIMIT_GROWTH = 1.25;
const DEFAULT_LATENCY_MS = 10;
const MAX_PAUSE_MS = 1_000;
/**
 * A member is slow above this multiple of its baseline. The margin keeps a mix
 * of statements of a few milliseconds and of tens of them from counting as slow.
 */
const SLOW_MULTIPLE = 3;
const SLOW_MARGIN_MS = 15;
/** The limit does not grow above this multiple of the baseline. */
const HOLD_MULTIPLE = 2;
const HOLD_MARGIN_MS = 10;
/** The fewest answers from which the recent latency is judged. */
const MIN_RECENT_COUNT = 5;
const RECENT_WEIGHT = 0.2;
const BASELINE_WEIGHT = 0.02;
const BASELINE_SLOW_WEIGHT = 0.002;
/**
 * The weight with which the baseline falls, and with which it follows the latency
 * at a limit of 1, where the VM's own statements don't queue. A member that has
 * become slower for good is then not left at 1.
 */
const BASELINE_FAST_WEIGHT = 0.2;
/** A failure within this time after a recovery makes the member a flapping one. */
const FLAP_WITHIN_MS = 30_000;
/** How long a failure is remembered. */
const MEMORY_MS = 60_000;
/**
 * Errors of statements count as trouble of the member above this share, since
 * some are faults of their callers.
 */
const MAX_FAILURE_SHARE = 0.1;
const FAILURE_SHARE_WEIGHT = 0.05;

/** Returns how many statements may run at a member; `full` in normal operation. */
export function concurrencyLimit(
  {reason, limit, pausedUntil}: AdaptiveConcurrency,
  full: number,
  now: number,
): number {
  if (reason === 'none') return full;
  if (now < pausedUntil) return 0;
  return Math.max(1, Math.min(full, Math.floor(limit)));
}

/** Limits a member that has just started, recovered or been promoted to 1. */
export function limitAfterStart(
  state: AdaptiveConcurrency,
  reason: Extract<LimitReason, 'started' | 'recovered' | 'promoted'>,
  now: number,
): AdaptiveConcurrency {
  const isRecalled = now - state.failedAt < MEMORY_MS;
  return {
    ...UNLIMITED_CONCURRENCY,
    reason,
    limit: 1,
    threshold: isRecalled ? state.threshold : Infinity,
    decreasedAt: now,
    startedAt: now,
    failedAt: state.failedAt,
    cautionMs: isRecalled ? state.cautionMs : 0,
    failureShare: state.failureShare,
  };
}

/** Records a normal answer. */
export function limitAfterAnswer(
  before: AdaptiveConcurrency,
  answered: AnsweredStatement,
  now: number,
): AdaptiveConcurrency {
  if (answered.sentAt < before.decreasedAt) return before;
  const state = withLatency(before, now - answered.sentAt);
  if (isAbove(state, SLOW_MULTIPLE, SLOW_MARGIN_MS)) {
    const limit = Math.max(1, usedLimit(state, answered) * SLOW_FACTOR);
    return decreased(state, 'slow', limit, now);
  }
  return state.reason === 'none' ? state : grown(state, answered, now);
}

/** Records that the member refused a statement as busy. */
export function limitAfterBusy(
  state: AdaptiveConcurrency,
  answered: AnsweredStatement,
  now: number,
): AdaptiveConcurrency {
  if (answered.sentAt < state.decreasedAt) return state;
  const limit = Math.max(MIN_LIMIT, usedLimit(state, answered) * BUSY_FACTOR);
  const next = decreased(state, 'busy', limit, now);
  return {...next, pausedUntil: now + pauseMs(state, limit)};
}

/** Records that a statement failed at a member that responds. */
export function limitAfterError(
  before: AdaptiveConcurrency,
  answered: AnsweredStatement,
  now: number,
): AdaptiveConcurrency {
  const state = {
    ...before,
    failureShare:
      before.failureShare + (1 - before.failureShare) * FAILURE_SHARE_WEIGHT,
  };
  const isIgnored =
    answered.sentAt < state.decreasedAt ||
    state.failureShare < MAX_FAILURE_SHARE;
  if (isIgnored) return state;
  const limit = Math.max(1, usedLimit(state, answered) * BUSY_FACTOR);
  return decreased(state, 'failing', limit, now);
}

/** Records that the member did not respond to a request. */
export function limitAfterFailure(
  state: AdaptiveConcurrency,
  full: number,
  now: number,
): AdaptiveConcurrency {
  // Requests on other connections often fail at the same time.
  if (state.reason === 'failing' && state.limit <= 1) {
    return {...state, failedAt: now};
  }
  const lastedMs = now - state.startedAt;
  const threshold = Math.max(1, Math.min(state.limit, full) / 2);
  return {
    ...decreased(state, 'failing', 1, now),
    threshold,
    failedAt: now,
    cautionMs: lastedMs < FLAP_WITHIN_MS ? lastedMs * 2 : 0,
  };
}

function withLatency(
  state: AdaptiveConcurrency,
  tookMs: number,
): AdaptiveConcurrency {
  const {baselineMs = tookMs, baselineCount, recentCount} = state;
  const recentMs =
    recentCount === 0
      ? tookMs
      : state.recentMs + (tookMs - state.recentMs) * RECENT_WEIGHT;
  const weight = baselineWeight(state, recentMs);
  return {
    ...state,
    recentMs,
    recentCount: recentCount + 1,
    baselineMs: baselineMs + (recentMs - baselineMs) * weight,
    baselineCount: baselineCount + 1,
    failureShare: state.failureShare * (1 - FAILURE_SHARE_WEIGHT),
  };
}

function baselineWeight(state: AdaptiveConcurrency, recentMs: number): number {
  const {reason, limit, baselineMs = recentMs, baselineCount} = state;
  const isLimited = reason !== 'none';
  if (isLimited && (limit <= 1 || recentMs < baselineMs)) {
    return BASELINE_FAST_WEIGHT;
  }
  // Queueing at the member must not raise the baseline.
  if (recentMs > baselineMs * HOLD_MULTIPLE + HOLD_MARGIN_MS) {
    return BASELINE_SLOW_WEIGHT;
  }
  // The latency grows with the limit.
  if (isLimited) return BASELINE_WEIGHT;
  return Math.max(BASELINE_WEIGHT, 1 / (baselineCount + 1));
}

/** Whether the recent latency is above a multiple of the baseline. */
function isAbove(
  {baselineMs, recentMs, recentCount}: AdaptiveConcurrency,
  multiple: number,
  marginMs: number,
): boolean {
  if (baselineMs === undefined || recentCount < MIN_RECENT_COUNT) return false;
  return recentMs > baselineMs * multiple + marginMs;
}

/** The part of the limit that was in use, from which it is decreased. */
function usedLimit(
  {limit}: AdaptiveConcurrency,
  {inFlight}: AnsweredStatement,
): number {
  return Math.min(limit, Math.max(1, inFlight));
}

function decreased(
  state: AdaptiveConcurrency,
  reason: LimitReason,
  limit: number,
  now: number,
): AdaptiveConcurrency {
  return {
    ...state,
    reason,
    // A pause after a refusal as busy goes on.
    limit: Math.min(state.limit, limit),
    threshold: Math.max(1, limit),
    recentCount: 0,
    decreasedAt: now,
    roundAt: now,
    roundMaximum: Math.max(1, limit * 2),
    answersAtFull: 0,
  };
}

function grown(
  state: AdaptiveConcurrency,
  {sentAt, inFlight, full}: AnsweredStatement,
  now: number,
): AdaptiveConcurrency {
  if (state.limit < 1) {
    const limit = Math.min(1, state.limit * LOW_LIMIT_GROWTH);
    return {...state, limit, pausedUntil: now + pauseMs(state, limit)};
  }
  if (state.limit >= full) return atFull(state, full, now);
  // A limit that is not used says nothing about the member's capacity.
  const isUnused = inFlight * 2 < state.limit;
  if (isUnused || isAbove(state, HOLD_MULTIPLE, HOLD_MARGIN_MS)) return state;
  const isNewRound = sentAt >= state.roundAt;
  const roundMaximum = isNewRound ? state.limit * 2 : state.roundMaximum;
  const step = state.limit < state.threshold ? 1 : 1 / state.limit;
  return {
    ...state,
    limit: Math.min(full, roundMaximum, state.limit + step),
    roundAt: isNewRound ? now : state.roundAt,
    roundMaximum,
  };
}

/** Lifts the limit after a round of normal answers at the full limit. */
function atFull(
  state: AdaptiveConcurrency,
  full: number,
  now: number,
): AdaptiveConcurrency {
  const answersAtFull = state.answersAtFull + 1;
  const isDue =
    answersAtFull >= full && now - state.decreasedAt >= state.cautionMs;
  if (!isDue) return {...state, answersAtFull};
  const {baselineMs, baselineCount, startedAt, failedAt} = state;
  const {threshold, cautionMs, failureShare} = state;
  return {
    ...UNLIMITED_CONCURRENCY,
    baselineMs,
    baselineCount,
    startedAt,
    failedAt,
    threshold,
    cautionMs,
    failureShare,
  };
}

/** The pause between two statements at a limit below 1. */
function pauseMs(
  {recentMs, baselineMs}: AdaptiveConcurrency,
  limit: number,
): number {
  if (limit >= 1) return 0;
  const latencyMs = Math.max(DEFAULT_LATENCY_MS, recentMs, baselineMs ?? 0);
  return Math.min(MAX_PAUSE_MS, (1 / limit - 1) * latencyMs);
}
