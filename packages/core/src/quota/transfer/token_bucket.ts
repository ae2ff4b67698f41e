import {FULL_SHARE_PPM} from '../quota_limits.js';
import type {QuotaLimits} from '../quota_limits.js';

/**
 * One VM's tokens for one workspace. Tokens accrue from the VM's share of the
 * rate and are transferred between VMs, so their sum over all VMs never exceeds
 * the workspace's rate and burst.
 */
export interface TokenBucket {
  readonly tokens: number;
  /** The time up to which tokens have accrued. */
  readonly at: number;
  /** The exponentially weighted average of tokens requested per second. */
  readonly demandPerSecond: number;
  /** The time at which `demandPerSecond` was calculated. */
  readonly demandUpdatedAt: number;
}

/** The time constant of the demand average. */
const DEMAND_TIME_CONSTANT_MS = 2_000;

/** Returns a bucket without tokens or demand. */
export function emptyBucket(now: number): TokenBucket {
  return {tokens: 0, at: now, demandPerSecond: 0, demandUpdatedAt: now};
}

/** Adds the tokens accrued up to `now`, up to the share's burst. */
export function accrueTokens(
  bucket: TokenBucket,
  limit: QuotaLimits,
  sharePpm: number,
  now: number,
): TokenBucket {
  const share = sharePpm / FULL_SHARE_PPM;
  const elapsed = Math.max(0, now - bucket.at) / 1_000;
  const capacity = limit.burst * share;
  // Received tokens may exceed the share's capacity; they are kept.
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

/** Records a request for one token in the demand estimate. */
export function recordDemand(bucket: TokenBucket, now: number): TokenBucket {
  return {
    ...bucket,
    demandPerSecond: demandAt(bucket, now) + 1_000 / DEMAND_TIME_CONSTANT_MS,
    demandUpdatedAt: now,
  };
}

/** Returns the demand at `now`. It decays while no tokens are requested. */
export function demandAt(bucket: TokenBucket, now: number): number {
  const age = Math.max(0, now - bucket.demandUpdatedAt);
  return bucket.demandPerSecond * Math.exp(-age / DEMAND_TIME_CONSTANT_MS);
}
