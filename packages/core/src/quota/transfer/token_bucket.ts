import {WHOLE_PPM} from '../quota_limits.js';
import type {QuotaLimits} from '../quota_limits.js';

/**
 * One VM's tokens of one workspace. Tokens accrue from the VM's share of the
 * rate and move between VMs, so their sum over all VMs never exceeds what the
 * whole rate and burst give.
 */
export interface TokenBucket {
  readonly tokens: number;
  readonly at: number;
  /** Tokens spent per second, as an average over the last seconds. */
  readonly demandPerSecond: number;
  readonly demandAt: number;
}

/** The time constant of the demand average. */
const DEMAND_WINDOW_MS = 2_000;

export function emptyBucket(now: number): TokenBucket {
  return {tokens: 0, at: now, demandPerSecond: 0, demandAt: now};
}

/** Adds what the share accrued up to `now`, capped at the share's burst. */
export function accrueTokens(
  bucket: TokenBucket,
  limit: QuotaLimits,
  sharePpm: number,
  now: number,
): TokenBucket {
  const share = sharePpm / WHOLE_PPM;
  const elapsed = Math.max(0, now - bucket.at) / 1_000;
  const capacity = limit.burst * share;
  // Tokens received from other VMs may exceed the share's own capacity.
  const gained = Math.max(
    0,
    Math.min(limit.rate * share * elapsed, capacity - bucket.tokens),
  );
  return {
    ...bucket,
    tokens: Math.min(limit.burst, bucket.tokens + gained),
    at: now,
  };
}

/** Records that an operation asked for a token. */
export function noteDemand(bucket: TokenBucket, now: number): TokenBucket {
  return {
    ...bucket,
    demandPerSecond: demandAt(bucket, now) + 1_000 / DEMAND_WINDOW_MS,
    demandAt: now,
  };
}

/** The present demand; it decays while nothing is asked for. */
export function demandAt(bucket: TokenBucket, now: number): number {
  const age = Math.max(0, now - bucket.demandAt);
  return bucket.demandPerSecond * Math.exp(-age / DEMAND_WINDOW_MS);
}
