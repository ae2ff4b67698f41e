import {Random} from '@pistachiorill/core';

/** The kinds of faults that a soak run injects from outside the processes. */
export const FAULT_KINDS = [
  'vm-killed',
  'vm-paused',
  'vm-stopped',
  'all-vms-killed',
  'store-unavailable',
  'store-silent',
  'store-slow',
  'store-loses-answers',
  'store-cut-from-vm',
  'orders-lose-answers',
  'member-cut-from-vm',
  'member-cut-one-way',
  'member-delayed',
  'connections-reset',
  'primary-dark',
  'member-crashed',
  'replicas-behind',
  'primary-leaves',
  'key-withdrawn',
  'configurations',
] as const;

/** A kind of fault, which `FaultInjector` implements. */
export type FaultKind = (typeof FAULT_KINDS)[number];

/** One fault of a run. */
export interface Fault {
  readonly kind: FaultKind;
  /** Time after the start of the run. */
  readonly atMs: number;
  /** Duration of the fault. */
  readonly forMs: number;
  /** A random number that selects the affected VM, group or member. */
  readonly target: number;
}

/** Kinds that are drawn more often, as most guarantees depend on them. */
const WEIGHTS: Partial<Record<FaultKind, number>> = {
  'primary-dark': 4,
  'primary-leaves': 2,
  'vm-paused': 2,
  'member-cut-from-vm': 2,
};
const WEIGHTED_KINDS = FAULT_KINDS.flatMap(kind =>
  Array.from({length: WEIGHTS[kind] ?? 1}, () => kind),
);

/** The time without faults at the start of a run. */
const FAULT_FREE_START_MS = 1_500;
/** No fault starts in the last part of a run, which leaves time to recover. */
const FAULT_FREE_END_MS = 4_000;
const MEAN_GAP_MS = 900;

/** Draws the faults of a run from its seed; consecutive faults can overlap. */
export function planFaults(seed: number, lengthMs: number): readonly Fault[] {
  const random = new Random(seed);
  const faults: Fault[] = [];
  let atMs = FAULT_FREE_START_MS;
  while (atMs < lengthMs - FAULT_FREE_END_MS) {
    const kind = WEIGHTED_KINDS[random.integer(0, WEIGHTED_KINDS.length - 1)];
    const forMs = random.integer(300, 4_000);
    const target = random.integer(0, 1_000_000);
    if (kind) faults.push({kind, atMs, forMs, target});
    // The gap counts from the start of a fault, so that faults often overlap.
    atMs += random.integer(0, 2 * MEAN_GAP_MS);
  }
  return faults;
}
