import {demandAt} from './token_bucket.js';
import {WHOLE_PPM} from '../quota_limits.js';
import type {QuotaLimits} from '../quota_limits.js';
import type {TokenBucket} from './token_bucket.js';

/** A VM asks for more when its tokens last less than this. */
const LOW_WATER_MS = 250;
/** It asks for what this time needs. */
const TARGET_MS = 600;
/** Parts of a token below this are not worth a message. */
const LEAST_GIFT = 0.05;
const MIN_ASKED_PEERS = 2;
const MAX_ASKED_PEERS = 8;
/** A VM keeps what its own demand needs for this long. */
const RESERVE_MS = 400;

/** How many tokens a VM should ask its peers for now. */
export function tokensToAsk(
  bucket: TokenBucket,
  waiting: number,
  now: number,
): number {
  const perMs = demandAt(bucket, now) / 1_000;
  const low = perMs * LOW_WATER_MS + waiting;
  if (bucket.tokens >= low) return 0;
  return perMs * TARGET_MS + waiting - bucket.tokens;
}

/** How many tokens a VM can give away of those that are asked for. */
export function tokensToGive(
  bucket: TokenBucket,
  asked: number,
  now: number,
): number {
  // Less than a token admits nothing here, so it need not be kept.
  const reserve =
    bucket.tokens < 1 ? 0 : (demandAt(bucket, now) / 1_000) * RESERVE_MS;
  const given = Math.min(asked, bucket.tokens - reserve);
  return given >= LEAST_GIFT ? given : 0;
}

/**
 * How many peers are asked at a time. A small workspace has less than a token
 * on each VM, so one is put together from the parts of many.
 */
export function peersToAsk(
  limit: QuotaLimits,
  sharePpm: number,
  asked: number,
): number {
  const held = (limit.burst * sharePpm) / WHOLE_PPM;
  const needed = Math.ceil((2 * asked) / Math.max(held, 0.01));
  return Math.min(MAX_ASKED_PEERS, Math.max(MIN_ASKED_PEERS, needed));
}
