import type {Result} from '@pistachiorill/core';

/** An order that makes a member the primary of its group. */
export interface PromotionOrder {
  readonly group: string;
  readonly member: string;
  readonly holder: string;
  readonly fence: number;
}

export type OrderError =
  /** The member cannot be promoted. */
  | {readonly kind: 'rejected'; readonly detail: string}
  /** Nothing was done. */
  | {readonly kind: 'unavailable'; readonly detail: string}
  | {readonly kind: 'unknown-outcome'; readonly detail: string};

/** Gives orders to the platform that runs the members. */
export abstract class PrimaryOrders {
  abstract promote(
    order: PromotionOrder,
    timeoutMs: number,
  ): Promise<Result<void, OrderError>>;
}
