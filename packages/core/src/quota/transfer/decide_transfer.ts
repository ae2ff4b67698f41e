import {demandAt} from './token_bucket.js';
import {FULL_SHARE_PPM} from '../quota_limits.js';
import type {QuotaLimits} from '../quota_limits.js';
import type {TokenBucket} from './token_bucket.js';

/** A VM requests tokens when its own cover its demand for less than this. */
const LOW_WATERMARK_MS = 250;
/** A request covers the demand of this time. */
const REFILL_TARGET_MS = 600;
/** A smaller transfer is not worth a message. */
const MIN_TRANSFER_TOKENS = 0.05;
/**
 * A rate holder asks two peers, as one may have no tokens. A VM without a share
 * asks for each operation and so starts with one peer.
 */
const MIN_REQUESTED_PEERS = 2;
const MIN_REQUESTED_RATE_HOLDERS = 1;
const MAX_REQUESTED_PEERS = 8;
/** A donor keeps the tokens that its own demand needs within this time. */
const DEMAND_RESERVE_MS = 400;

/** Returns the number of tokens that a VM should request from its peers. */
export function tokensToRequest(
  bucket: TokenBucket,
  waiting: number,
  now: number,
): number {
  const demandPerMs = demandAt(bucket, now) / 1_000;
  const lowWatermark = demandPerMs * LOW_WATERMARK_MS + waiting;
  if (bucket.tokens >= lowWatermark) return 0;
  return demandPerMs * REFILL_TARGET_MS + waiting - bucket.tokens;
}

/** Returns how many of the requested tokens a donor can transfer. */
export function tokensToTransfer(
  bucket: TokenBucket,
  requested: number,
  now: number,
): number {
  // Less than one token admits no statement here, so none is kept back.
  const reserve =
    bucket.tokens < 1 ? 0 : (demandAt(bucket, now) / 1_000) * DEMAND_RESERVE_MS;
  const transferred = Math.min(requested, bucket.tokens - reserve);
  return transferred >= MIN_TRANSFER_TOKENS ? transferred : 0;
}

/**
 * Returns the number of peers to send a request to. Each VM holds less than one
 * token of a small workspace, so a token is combined from fractions of several.
 */
export function requestedPeerCount(
  limit: QuotaLimits,
  sharePpm: number,
  requested: number,
  role: 'rate-holder' | 'without-share',
): number {
  const minPeers =
    role === 'rate-holder' ? MIN_REQUESTED_PEERS : MIN_REQUESTED_RATE_HOLDERS;
  const heldPerPeer = (limit.burst * sharePpm) / FULL_SHARE_PPM;
  const neededPeers = Math.ceil((2 * requested) / Math.max(heldPerPeer, 0.01));
  return Math.min(MAX_REQUESTED_PEERS, Math.max(minPeers, neededPeers));
}
