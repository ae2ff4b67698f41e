import type {UsageRecord} from './usage_step.js';
import {MAX_DEVIATION_MS} from './wall_time.js';

/** Bounds of the offset between the store's clock and this VM's. */
interface StoreOffset {
  readonly minOffset: number;
  readonly maxOffset: number;
}

/** What a VM knows about its estimate of the wall-clock time. */
export interface ClockEvidence {
  /** Whether enough other VMs have about the same time. */
  readonly peers: 'confirmed' | 'not-confirmed';
  /** How far the estimate is ahead of this VM's clock. */
  readonly ownOffset: number;
  readonly storeClock: StoreOffset;
  readonly era: number;
  readonly newest: UsageRecord | undefined;
}

/** Whether counts may be recorded by this VM's wall-clock time. */
export type ClockTrust =
  | {
      readonly kind: 'trusted';
      /** How far the confirmed time is ahead of the store's clock. */
      readonly wallOffset: number | undefined;
    }
  | {readonly kind: 'untrusted'};

/** Two VMs that each differ from the others by less may differ by this much. */
const MAX_DISAGREEMENT_MS = 2 * MAX_DEVIATION_MS;

/**
 * Decides whether a VM may record counts by its clock. Without answers of other
 * VMs, it may if its clock went on since the newest record as the store's did.
 * The offset of that record is kept, so that a clock that drifts is not followed.
 */
export function decideClockTrust({
  peers,
  ownOffset,
  storeClock,
  era,
  newest,
}: ClockEvidence): ClockTrust {
  const present = offsetFromStore(ownOffset, storeClock);
  if (peers === 'confirmed') return {kind: 'trusted', wallOffset: present};
  const recorded = newest?.era === era ? newest.wallOffset : undefined;
  if (present === undefined || recorded === undefined) {
    return {kind: 'untrusted'};
  }
  return Math.abs(present - recorded) <= MAX_DISAGREEMENT_MS
    ? {kind: 'trusted', wallOffset: recorded}
    : {kind: 'untrusted'};
}

/** Undefined while the store's clock is not known well enough. */
function offsetFromStore(
  ownOffset: number,
  {minOffset, maxOffset}: StoreOffset,
): number | undefined {
  if (!(maxOffset - minOffset <= MAX_DEVIATION_MS)) return undefined;
  return Math.round(ownOffset - (minOffset + maxOffset) / 2);
}
