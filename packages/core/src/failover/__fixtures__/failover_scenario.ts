/** The faults of the matrix; see `FakeFleet.startFault`. */
export const FAULT_KINDS = [
  'message-lost',
  'answer-lost',
  'member-unreachable',
  'owner-paused',
  'owner-killed',
  'store-down',
  'store-answer-lost',
  'second-owner',
] as const;
/** The steps of an attempt at which a fault can start. */
export const STEPS = [
  'read-row',
  'claim',
  'fence',
  'promote',
  'follow',
  'publish',
] as const;

/** A fault that starts when a VM first takes the given step. */
export interface Fault {
  readonly kind: (typeof FAULT_KINDS)[number];
  readonly step: (typeof STEPS)[number];
}

/** The initial state and the course of a run, apart from its faults. */
export type Scenario =
  /** The primary is unreachable from 1 s to 9 s. */
  | 'primary-lost'
  /** One data centre cannot reach the primary. */
  | 'one-partition'
  /** Two of three data centres cannot reach the primary. */
  | 'two-partitions'
  /** The only data centre in service cannot reach the primary. */
  | 'one-data-centre'
  /** No member was ever promoted, and the VMs receive no reports. */
  | 'new-group'
  /** The configuration makes the primary leave at 1 s. */
  | 'planned-move'
  /** One VM has a transaction open until 5 s when the primary has to leave. */
  | 'busy-planned-move'
  /** The VM with the transaction receives the configuration only at 7 s. */
  | 'late-planned-move'
  /** As `late-planned-move`, but the transaction never ends. */
  | 'stuck-planned-move'
  /** Only the primary that has to leave holds the whole log until 5 s. */
  | 'lagging-planned-move';

/** The outcome of a run. */
export interface RunResult {
  /** The violated guarantees, empty if all hold. */
  readonly violations: readonly string[];
  /** Longest time without an acknowledged write, in milliseconds. */
  readonly gapMs: number;
  readonly finalTerm: number;
  /** Each primary with its term and the time of its first accepted writes. */
  readonly primaries: readonly string[];
}
