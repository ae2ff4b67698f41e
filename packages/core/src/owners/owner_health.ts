import type {OwnerAvailability} from './owner_targets.js';

/** An owner that answers nothing for this long gets no new statements. */
const SILENCE_MS = 400;
/** For how long an owner is avoided after the first failure in a row. */
const BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 3_000;
/**
 * The number of calls to one owner that may be without an answer. Each takes a
 * connection: those of 195 VMs must fit into the 4,300 descriptors of an owner.
 */
const MAX_OUTSTANDING = 20;

/** Why an owner refused a new statement. */
export type OwnerRefusalReason = 'stopping' | 'not-ready' | 'full';

/** For how long an owner that refused a statement is avoided. */
const REFUSAL_AVOID_MS: Readonly<Record<OwnerRefusalReason, number>> = {
  stopping: MAX_BACKOFF_MS,
  'not-ready': 500,
  full: 100,
};

/** Why an owner gets no new statements for some time. */
export type OwnerAvoidReason =
  /** It opened no connection in time, and may be short of processor time. */
  | 'overloaded'
  /** It has as much to do as it may take from other VMs. */
  | 'full'
  | 'unreachable'
  /** It answered nothing although it had calls to answer. */
  | 'silent'
  | 'stopping'
  /** It is not ready to serve callers, or lacks the group. */
  | 'not-ready';

/** The reasons that hold although the owner answers. */
const KEPT_REASONS: readonly OwnerAvoidReason[] = [
  'overloaded',
  'full',
  'stopping',
  'not-ready',
];

/** The reasons that only an answer ends. */
const PROBED_REASONS: readonly OwnerAvoidReason[] = [
  'unreachable',
  'silent',
  'overloaded',
];

/** The reasons of an owner that is there, but takes no more. */
const FULL_REASONS: readonly OwnerAvoidReason[] = ['overloaded', 'full'];

/** What a VM has observed of one owner. */
export interface OwnerHealth {
  /** The number of calls without an answer. */
  readonly outstanding: number;
  /** When the first call since the last answer was sent. */
  readonly silentSince: number | undefined;
  /** When the last answer arrived. */
  readonly answeredAt: number;
  readonly avoid:
    {readonly until: number; readonly reason: OwnerAvoidReason} | undefined;
  /** Failures since the last answer. */
  readonly failures: number;
}

/** The health of an owner that was not called yet. */
export const INITIAL_OWNER_HEALTH: OwnerHealth = {
  outstanding: 0,
  silentSince: undefined,
  answeredAt: -Infinity,
  avoid: undefined,
  failures: 0,
};

/** A call was sent. */
export function afterCall(health: OwnerHealth, now: number): OwnerHealth {
  return {
    ...health,
    outstanding: health.outstanding + 1,
    silentSince: health.silentSince ?? now,
  };
}

/** A call was answered. An owner that stops still answers running calls. */
export function afterOwnerAnswer(
  health: OwnerHealth,
  now: number,
): OwnerHealth {
  const {avoid} = health;
  const isKept =
    isAvoided(health, now) && KEPT_REASONS.includes(avoid?.reason ?? 'silent');
  return {
    outstanding: health.outstanding - 1,
    silentSince: undefined,
    answeredAt: now,
    avoid: isKept ? avoid : undefined,
    failures: 0,
  };
}

/** The owner refused a call as it takes no new statements. */
export function afterOwnerRefusal(
  health: OwnerHealth,
  reason: OwnerRefusalReason,
  now: number,
): OwnerHealth {
  const ms = REFUSAL_AVOID_MS[reason];
  const answered = afterOwnerAnswer(health, now);
  return {...answered, avoid: {until: now + ms, reason}};
}

/**
 * A call that was made at `sentAt` ended without an answer. The owner is avoided
 * unless it answered another call since. One that opens no connection is
 * overloaded; it is unreachable if that happens again without an answer between.
 */
export function afterOwnerFailure(
  health: OwnerHealth,
  reason: 'unreachable' | 'silent' | 'overloaded',
  sentAt: number,
  now: number,
): OwnerHealth {
  const outstanding = health.outstanding - 1;
  // Time without calls is no silence.
  const silentSince = outstanding > 0 ? health.silentSince : undefined;
  const ended = {...health, outstanding, silentSince};
  if (reason === 'overloaded') {
    const isRepeated = health.failures > 0 && !isAvoided(health, now);
    return avoided(ended, isRepeated ? 'unreachable' : reason, now);
  }
  return health.answeredAt >= sentAt ? ended : avoided(ended, reason, now);
}

/** A probe was answered: calls without an answer wait for their members. */
export function afterProbeAnswer(
  health: OwnerHealth,
  now: number,
): OwnerHealth {
  const {outstanding} = health;
  const answered = afterOwnerAnswer(health, now);
  const silentSince = outstanding > 0 ? now : undefined;
  return {...answered, outstanding, silentSince};
}

/** A probe that was sent at `sentAt` got no answer. */
export function afterProbeFailure(
  health: OwnerHealth,
  sentAt: number,
  now: number,
): OwnerHealth {
  return health.answeredAt >= sentAt ? health : avoided(health, 'silent', now);
}

/** Avoids an owner that has answered nothing for too long. */
export function checkSilence(health: OwnerHealth, now: number): OwnerHealth {
  const {silentSince} = health;
  const isSilent = silentSince !== undefined && now - silentSince > SILENCE_MS;
  return isSilent ? avoided(health, 'silent', now) : health;
}

/**
 * Whether an owner that failed is due for a probe. It gets new statements only
 * once it has answered one: a statement would wait for the time limit of a
 * connection to find out.
 */
export function isProbeDue({avoid}: OwnerHealth, now: number): boolean {
  return (
    avoid !== undefined &&
    now >= avoid.until &&
    PROBED_REASONS.includes(avoid.reason)
  );
}

/** Whether the owner may get a new statement. */
export function availabilityOf(
  health: OwnerHealth,
  now: number,
): OwnerAvailability {
  const {avoid, outstanding} = health;
  if (avoid && (now < avoid.until || isProbeDue(health, now))) {
    return FULL_REASONS.includes(avoid.reason) ? 'full' : 'avoided';
  }
  return outstanding < MAX_OUTSTANDING ? 'available' : 'full';
}

function isAvoided({avoid}: OwnerHealth, now: number): boolean {
  return avoid !== undefined && now < avoid.until;
}

function avoided(
  health: OwnerHealth,
  reason: OwnerAvoidReason,
  now: number,
): OwnerHealth {
  // Calls that fail while the owner is avoided are no further evidence, except
  // that one which seemed overloaded is gone.
  if (isAvoided(health, now)) {
    const {avoid: current} = health;
    const isFull = current && FULL_REASONS.includes(current.reason);
    const avoid = isFull ? {...current, reason} : current;
    return {...health, silentSince: undefined, avoid};
  }
  const failures = health.failures + 1;
  const ms = Math.min(MAX_BACKOFF_MS, BACKOFF_MS * 2 ** (failures - 1));
  const avoid = {until: now + ms, reason};
  return {...health, silentSince: undefined, avoid, failures};
}
