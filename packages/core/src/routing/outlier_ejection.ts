/** Consecutive transport errors after which a member is ejected. */
const MAX_CONSECUTIVE_FAILURES = 5;
/** Each further ejection doubles the time, up to `MAX_EJECTION_MS`. */
const FIRST_EJECTION_MS = 500;
const MAX_EJECTION_MS = 30_000;

/** The transport errors of a member since its last answer. */
export interface MemberHealth {
  /** Transport errors since the last answer or ejection. */
  readonly consecutiveFailures: number;
  /** Ejections since the last answer. */
  readonly ejections: number;
  /** The time until which the member gets no new statements. */
  readonly ejectedUntil: number;
}

/** The health of a member without transport errors. */
export const HEALTHY_MEMBER: MemberHealth = {
  consecutiveFailures: 0,
  ejections: 0,
  ejectedUntil: 0,
};

/** How an attempt ended, as far as it concerns the connection to the member. */
export type AttemptOutcome = 'answered' | 'transport-error';

/**
 * Updates a member's health after an attempt: an answer resets it, and too many
 * consecutive transport errors eject the member for a time.
 */
export function updateMemberHealth(
  health: MemberHealth,
  outcome: AttemptOutcome,
  now: number,
): MemberHealth {
  if (outcome === 'answered') return HEALTHY_MEMBER;
  const consecutiveFailures = health.consecutiveFailures + 1;
  if (consecutiveFailures < MAX_CONSECUTIVE_FAILURES) {
    return {...health, consecutiveFailures};
  }
  const durationMs = Math.min(
    MAX_EJECTION_MS,
    FIRST_EJECTION_MS * 2 ** health.ejections,
  );
  return {
    consecutiveFailures: 0,
    ejections: health.ejections + 1,
    ejectedUntil: now + durationMs,
  };
}

/**
 * Returns the names of the members to avoid now, those with the longest
 * remaining ejection first. At most half of a group is ejected: errors on most
 * members point to a fault that avoiding them does not cure.
 */
export function ejectedMembers(
  health: ReadonlyMap<string, MemberHealth>,
  memberCount: number,
  now: number,
): string[] {
  const ejected = [...health]
    .filter(([, item]) => item.ejectedUntil > now)
    .sort(([, a], [, b]) => b.ejectedUntil - a.ejectedUntil)
    .map(([name]) => name);
  return ejected.slice(0, Math.floor(memberCount / 2));
}
