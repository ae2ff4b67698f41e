import {demandAt} from './token_bucket.js';
import type {TokenBucket} from './token_bucket.js';

/** A VM asks for more when its tokens last less than this. */
const LOW_WATER_MS = 250;
/** It asks for what this time needs. */
const TARGET_MS = 600;
/** A VM keeps what its own demand needs for this long. */
const RESERVE_MS = 400;

/** How many tokens a VM should ask its peers for now. */
export function tokensToAsk(
  bucket: TokenBucket,
  waiting: number,
  now: number,
): number {
  const perMs = demandAt(bucket, now) / 1_000;
  const low = Math.max(1, perMs * LOW_WATER_MS) + waiting;
  if (bucket.tokens >= low) return 0;
  return Math.ceil(Math.max(2, perMs * TARGET_MS) + waiting - bucket.tokens);
}

/** How many whole tokens a VM can give away of those that are asked for. */
export function tokensToGive(
  bucket: TokenBucket,
  asked: number,
  now: number,
): number {
  const reserve = (demandAt(bucket, now) / 1_000) * RESERVE_MS;
  const spare = Math.floor(bucket.tokens - reserve);
  return Math.max(0, Math.min(Math.floor(asked), spare));
}
