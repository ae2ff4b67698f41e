import {Random} from '@pistachiorill/core';

/** The troubles that a soak causes from outside the programs. */
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

export type FaultKind = (typeof FAULT_KINDS)[number];

/** One trouble of a run. */
export interface Fault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly forMs: number;
  /** Chooses the VM, group or member that is hit. */
  readonly target: number;
}

/** Kinds that are drawn more often, as most promises hang on them. */
const WEIGHTS: Partial<Record<FaultKind, number>> = {
  'primary-dark': 4,
  'primary-leaves': 2,
  'vm-paused': 2,
  'member-cut-from-vm': 2,
};
const DRAWN = FAULT_KINDS.flatMap(kind =>
  Array.from({length: WEIGHTS[kind] ?? 1}, () => kind),
);

/** Faults begin after the programs have served for this long. */
const QUIET_START_MS = 1_500;
/** The programs have this long to recover before a run ends. */
const QUIET_END_MS = 4_000;
const MEAN_GAP_MS = 900;

/** Draws the faults of a run from its seed; they come in series and overlap. */
export function planFaults(seed: number, lengthMs: number): readonly Fault[] {
  const random = new Random(seed);
  const faults: Fault[] = [];
  let atMs = QUIET_START_MS;
  while (atMs < lengthMs - QUIET_END_MS) {
    const kind = DRAWN[random.integer(0, DRAWN.length - 1)];
    const forMs = random.integer(300, 4_000);
    const target = random.integer(0, 1_000_000);
    if (kind) faults.push({kind, atMs, forMs, target});
    // A second trouble often strikes while the first one lasts.
    atMs += random.integer(0, 2 * MEAN_GAP_MS);
  }
  return faults;
}
