import type {LogPosition, PrimaryObservation} from '@pistachiorill/core';

/** The weight of the newest sample in the moving average of the latency. */
const LATENCY_EWMA_WEIGHT = 0.1;
const INITIAL_MEAN_LATENCY_MS = 10;
/** A request without a response for this long counts as a failure. */
const UNRESPONSIVE_AFTER_MS = 400;
/**
 * How long a member is avoided after its first failure. Doubles with each
 * further failure, up to `MAX_AVOID_MS`.
 */
const INITIAL_AVOID_MS = 300;
const MAX_AVOID_MS = 3_000;
/** A member counts as reachable for this long after a response. */
const REACHABLE_AFTER_ANSWER_MS = 1_500;

/** The state of a member as observed by this VM. */
export interface MemberHealth {
  /** The moving average of the statement latency. */
  readonly meanLatencyMs: number;
  /** The last applied log position that the member reported. */
  readonly applied: LogPosition | undefined;
  readonly lastAnswerAt: number;
  /** The time of the first failure since the last response. */
  readonly failingSince: number | undefined;
  /** The number of failures since the last response. */
  readonly failures: number;
  /** Reads prefer other members until this time. */
  readonly avoidUntil: number;
}

/** The health of a member without any response or failure so far. */
export const INITIAL_MEMBER_HEALTH: MemberHealth = {
  meanLatencyMs: INITIAL_MEAN_LATENCY_MS,
  applied: undefined,
  lastAnswerAt: -Infinity,
  failingSince: undefined,
  failures: 0,
  avoidUntil: -Infinity,
};

/** Records a response; setup commands don't count for the latency. */
export function afterAnswer(
  health: MemberHealth,
  answer: {
    readonly tookMs: number;
    readonly applied: LogPosition | undefined;
    readonly work: 'statement' | 'setup';
  },
  now: number,
): MemberHealth {
  const {meanLatencyMs} = health;
  return {
    meanLatencyMs:
      answer.work === 'setup'
        ? meanLatencyMs
        : meanLatencyMs + (answer.tookMs - meanLatencyMs) * LATENCY_EWMA_WEIGHT,
    applied: answer.applied ?? health.applied,
    lastAnswerAt: now,
    failingSince: undefined,
    failures: 0,
    avoidUntil: health.failures > 0 ? -Infinity : health.avoidUntil,
  };
}

/** Records a failure and avoids the member with exponential backoff. */
export function afterFailure(health: MemberHealth, now: number): MemberHealth {
  const avoidMs = Math.min(
    MAX_AVOID_MS,
    INITIAL_AVOID_MS * 2 ** Math.min(8, health.failures),
  );
  return {
    ...health,
    failingSince: health.failingSince ?? now,
    failures: health.failures + 1,
    avoidUntil: now + avoidMs,
  };
}

/** Avoids a replica that did not hold the required position for `avoidMs`. */
export function afterBehind(
  health: MemberHealth,
  applied: LogPosition | undefined,
  avoidMs: number,
  now: number,
): MemberHealth {
  return {
    ...health,
    applied: applied ?? health.applied,
    avoidUntil: Math.max(health.avoidUntil, now + avoidMs),
  };
}

/** Records a refusal as busy, which says nothing about the latency. */
export function afterBusy(
  health: MemberHealth,
  applied: LogPosition | undefined,
  avoidMs: number,
  now: number,
): MemberHealth {
  const answer = {tookMs: 0, applied, work: 'setup'} as const;
  return afterBehind(afterAnswer(health, answer, now), applied, avoidMs, now);
}

/**
 * Returns whether the member is reachable, given the time of its oldest request
 * without a response.
 */
export function observationOf(
  health: MemberHealth,
  oldestPendingAt: number | undefined,
  now: number,
): PrimaryObservation {
  const isUnresponsive =
    oldestPendingAt !== undefined &&
    now - oldestPendingAt > UNRESPONSIVE_AFTER_MS &&
    health.lastAnswerAt < oldestPendingAt;
  if (isUnresponsive || health.failingSince !== undefined) return 'unreachable';
  return now - health.lastAnswerAt < REACHABLE_AFTER_ANSWER_MS
    ? 'reachable'
    : 'unknown';
}
