import type {Result} from '@pistachiorill/core';

/** A request to promote a member to the primary of its group. */
export interface PromotionRequest {
  readonly group: string;
  readonly member: string;
  /** The coordinator that makes the request. */
  readonly holder: string;
  /** The fencing number of the coordinator lease. */
  readonly fence: number;
}

/** Why a promotion is not confirmed. */
export type PromotionError =
  /** The member cannot be promoted. */
  | {readonly kind: 'rejected'; readonly detail: string}
  /** The request had no effect. */
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** The promotion may or may not have taken place. */
  | {readonly kind: 'unknown-outcome'; readonly detail: string};

/** Requests promotions from the platform that runs the members. */
export abstract class PrimaryPromoter {
  /** Requests a promotion and waits for its result. */
  abstract promote(
    order: PromotionRequest,
    timeoutMs: number,
  ): Promise<Result<void, PromotionError>>;
}
