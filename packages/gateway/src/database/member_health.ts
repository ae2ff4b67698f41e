import type {LogPosition, PrimarySighting} from '@pistachiorill/core';

/** The weight of the last answer in the mean. */
const MEAN_WEIGHT = 0.1;
const INITIAL_MEAN_MS = 10;
/** A request without an answer for this long counts as a failure. */
const SILENT_AFTER_MS = 400;
/** How long a member is avoided after a failure; doubles up to the limit. */
const FIRST_AVOID_MS = 300;
const MAX_AVOID_MS = 3_000;
/** How long an answer shows that a member is reachable. */
const RECENT_ANSWER_MS = 1_500;

/** What one VM has seen of a member. */
export interface MemberHealth {
  readonly meanMs: number;
  /** The end of the log that it last served reads from. */
  readonly applied: LogPosition | undefined;
  readonly lastAnswerAt: number;
  /** The first failure since the last answer. */
  readonly failingSince: number | undefined;
  readonly failures: number;
  readonly avoidUntil: number;
}

export const NEW_MEMBER_HEALTH: MemberHealth = {
  meanMs: INITIAL_MEAN_MS,
  applied: undefined,
  lastAnswerAt: -Infinity,
  failingSince: undefined,
  failures: 0,
  avoidUntil: -Infinity,
};

export function afterAnswer(
  health: MemberHealth,
  answer: {
    readonly tookMs: number;
    readonly applied: LogPosition | undefined;
    readonly work: 'statement' | 'setup';
  },
  now: number,
): MemberHealth {
  const {meanMs} = health;
  return {
    meanMs:
      answer.work === 'setup'
        ? meanMs
        : meanMs + (answer.tookMs - meanMs) * MEAN_WEIGHT,
    applied: answer.applied ?? health.applied,
    lastAnswerAt: now,
    failingSince: undefined,
    failures: 0,
    avoidUntil: health.failures > 0 ? -Infinity : health.avoidUntil,
  };
}

export function afterFailure(health: MemberHealth, now: number): MemberHealth {
  const avoidMs = Math.min(
    MAX_AVOID_MS,
    FIRST_AVOID_MS * 2 ** Math.min(8, health.failures),
  );
  return {
    ...health,
    failingSince: health.failingSince ?? now,
    failures: health.failures + 1,
    avoidUntil: now + avoidMs,
  };
}

/** Avoids a replica for a while that did not hold what was asked for. */
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

/** How a member looks, given its oldest request without an answer. */
export function sightingOf(
  health: MemberHealth,
  oldestPendingAt: number | undefined,
  now: number,
): PrimarySighting {
  const isSilent =
    oldestPendingAt !== undefined &&
    now - oldestPendingAt > SILENT_AFTER_MS &&
    health.lastAnswerAt < oldestPendingAt;
  if (isSilent || health.failingSince !== undefined) return 'unreachable';
  return now - health.lastAnswerAt < RECENT_ANSWER_MS ? 'reachable' : 'unknown';
}
