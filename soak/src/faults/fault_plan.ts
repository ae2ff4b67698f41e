import {Random} from '@pistachiorill/core';

/** The kinds of faults in the first plan of a run. */
const FIRST_KINDS = [
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
/** Kinds that were added later; see `planFaults`. */
const LATER_KINDS = ['store-connections-silent', 'store-behind'] as const;
/** Planned work, alone and in series, and beside a busy processor. */
export const PLANNED_KINDS = [
  'signalled-twice',
  'reloads-in-drain',
  'reloads-in-start',
  'rolling-restart',
  'changes-in-drain',
  'stopped-in-start',
  'processor-shared',
] as const;
/** A kind of planned work. */
export type PlannedKind = (typeof PLANNED_KINDS)[number];
/** Changes of routes while replicas are behind. */
const ROUTE_KINDS = ['routes-moved'] as const;
/** Writes whose outcome the VMs learn late. */
const WRITE_KINDS = ['store-writes-late'] as const;
const RESTORE_KINDS = ['store-restored'] as const;
/** Outages of the store in which members' entries expire. */
const EXPIRY_KINDS = ['entries-expired'] as const;

/** The kinds of faults that a soak run injects from outside the processes. */
export const FAULT_KINDS = [
  ...FIRST_KINDS,
  ...LATER_KINDS,
  ...PLANNED_KINDS,
  ...ROUTE_KINDS,
  ...WRITE_KINDS,
  ...RESTORE_KINDS,
  ...EXPIRY_KINDS,
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
const WEIGHTED_FIRST_KINDS: readonly FaultKind[] = FIRST_KINDS.flatMap(kind =>
  Array.from({length: WEIGHTS[kind] ?? 1}, () => kind),
);

/** The time without faults at the start of a run. */
const FAULT_FREE_START_MS = 1_500;
/** No fault starts in the last part of a run, which leaves time to recover. */
const FAULT_FREE_END_MS = 4_000;
const FIRST_KINDS_GAP_MS = 900;
const LATER_KINDS_GAP_MS = 3_000;
/** Shorter than a drain, so that planned work overlaps. */
const PLANNED_KINDS_GAP_MS = 1_200;
const ROUTE_KINDS_GAP_MS = 3_000;
const WRITE_KINDS_GAP_MS = 3_000;
const RESTORE_KINDS_GAP_MS = 9_000;
const EXPIRY_KINDS_GAP_MS = 6_000;
/** Separate the later streams of random numbers of a seed from the first. */
const LATER_KINDS_SEED = 1_000_003;
const PLANNED_KINDS_SEED = 2_000_003;
const RESTORE_KINDS_SEED = 4_000_037;
const ROUTE_KINDS_SEED = 5_000_011;
const WRITE_KINDS_SEED = 6_000_011;
const EXPIRY_KINDS_SEED = 7_000_003;

/**
 * Which faults a run has: all kinds, which overlap, but for restores of the
 * store; those without the series of planned work; planned work only, around
 * which no request may be lost; planned work, changes of routes and restores of
 * the store; or outages of the store in which members' entries expire, beside
 * planned work, with a synchronous replica.
 */
export const PLANS = [
  'all',
  'faults',
  'planned',
  'restored',
  'expired',
] as const;
/** Which faults a run has. */
export type Plan = (typeof PLANS)[number];

/**
 * Draws the faults of a run from its seed; consecutive faults can overlap. Later
 * kinds have streams of their own, so that a seed keeps the faults it had.
 */
export function planFaults(
  seed: number,
  lengthMs: number,
  plan: Plan,
): readonly Fault[] {
  const faults = [
    ...draw(
      new Random(seed),
      WEIGHTED_FIRST_KINDS,
      FIRST_KINDS_GAP_MS,
      lengthMs,
    ),
    ...draw(
      new Random(seed + LATER_KINDS_SEED),
      LATER_KINDS,
      LATER_KINDS_GAP_MS,
      lengthMs,
    ),
  ];
  const plannedWork = draw(
    new Random(seed + PLANNED_KINDS_SEED),
    PLANNED_KINDS,
    PLANNED_KINDS_GAP_MS,
    lengthMs,
  );
  const moves = draw(
    new Random(seed + ROUTE_KINDS_SEED),
    ROUTE_KINDS,
    ROUTE_KINDS_GAP_MS,
    lengthMs,
  );
  const lateWrites = draw(
    new Random(seed + WRITE_KINDS_SEED),
    WRITE_KINDS,
    WRITE_KINDS_GAP_MS,
    lengthMs,
  );
  const restores = draw(
    new Random(seed + RESTORE_KINDS_SEED),
    RESTORE_KINDS,
    RESTORE_KINDS_GAP_MS,
    lengthMs,
  );
  const expiries = draw(
    new Random(seed + EXPIRY_KINDS_SEED),
    EXPIRY_KINDS,
    EXPIRY_KINDS_GAP_MS,
    lengthMs,
  );
  return [
    ...(plan === 'all' || plan === 'faults' ? faults : []),
    ...(plan === 'faults' ? [] : plannedWork),
    ...(plan === 'planned' || plan === 'expired' ? [] : moves),
    ...(plan === 'all' ? lateWrites : []),
    ...(plan === 'restored' ? restores : []),
    ...(plan === 'expired' ? expiries : []),
  ].sort((a, b) => a.atMs - b.atMs);
}

function draw(
  random: Random,
  kinds: readonly FaultKind[],
  meanGapMs: number,
  lengthMs: number,
): readonly Fault[] {
  const faults: Fault[] = [];
  let atMs = FAULT_FREE_START_MS;
  while (atMs < lengthMs - FAULT_FREE_END_MS) {
    const kind = kinds[random.integer(0, kinds.length - 1)];
    const forMs = random.integer(300, 4_000);
    const target = random.integer(0, 1_000_000);
    if (kind) faults.push({kind, atMs, forMs, target});
    // The gap counts from the start of a fault, so that faults often overlap.
    atMs += random.integer(0, 2 * meanGapMs);
  }
  return faults;
}
