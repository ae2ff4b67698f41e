import type {DutyRecord} from './leadership_record.js';

/**
 * How long the duty stays with a holder that does nothing. It exceeds the time
 * limit of an order, so that no order of a former holder is still under way.
 */
export const DUTY_MS = 5_000;

export type DutyDecision =
  | {readonly kind: 'take'; readonly fence: number}
  | {readonly kind: 'leave'; readonly holder: string};

/**
 * Decides whether a VM may take the duty. Another VM's duty is over once its
 * time has passed even on the slowest reading of the store's clock.
 */
export function decideDuty(
  vm: string,
  current: DutyRecord | undefined,
  earliestStoreMs: number,
): DutyDecision {
  if (!current) return {kind: 'take', fence: 1};
  if (current.holder === vm) return {kind: 'take', fence: current.fence};
  if (earliestStoreMs >= current.takenAt + DUTY_MS) {
    return {kind: 'take', fence: current.fence + 1};
  }
  return {kind: 'leave', holder: current.holder};
}

/** Whether the holder may still give an order that ends within `orderMs`. */
export function holdsDuty(
  vm: string,
  current: DutyRecord,
  latestStoreMs: number,
  orderMs: number,
): boolean {
  return (
    current.holder === vm && latestStoreMs + orderMs < current.takenAt + DUTY_MS
  );
}
