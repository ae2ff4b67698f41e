import {
  COORDINATOR_LEASE_TERMS,
  decideCoordinatorLease,
  earliestStoreTime,
  eraOf,
  holdsCoordinatorLease,
  isOfEra,
  latestStoreTime,
} from '@pistachiorill/core';
import type {
  CoordinatorLease,
  CoordinatorLeaseDecision,
  LeaseTerms,
  Result,
} from '@pistachiorill/core';
import type {
  RowTransaction,
  StoreWriteError,
  TransactionResult,
} from '@pistachiorill/store';
import {COORDINATOR_LEASE_KEY, USAGE_LEASE_KEY} from '../fleet/fleet_rows.js';
import type {FleetRows, Versioned} from '../fleet/fleet_rows.js';
import {leaseEra} from '../fleet/fleet_view.js';
import type {FleetView} from '../fleet/fleet_view.js';

/** A kind of lease: its row and its terms. */
export interface LeaseKind {
  readonly key: string;
  readonly rowOf: (rows: FleetRows) => Versioned<CoordinatorLease> | undefined;
  readonly terms: LeaseTerms;
}

/** The lease of the VM that orders promotions. */
export const COORDINATOR_LEASE: LeaseKind = {
  key: COORDINATOR_LEASE_KEY,
  rowOf: rows => rows.duty,
  terms: COORDINATOR_LEASE_TERMS,
};

/** The lease of the VM that sends the usage reports. */
export function usageLease(terms: LeaseTerms): LeaseKind {
  return {key: USAGE_LEASE_KEY, rowOf: rows => rows.usageLease, terms};
}

/** Collaborators for holding a lease on the shared rows. */
export interface LeaseRowDependencies {
  readonly vm: string;
  readonly view: () => FleetView;
  readonly transact: (
    transaction: RowTransaction,
  ) => Promise<Result<TransactionResult, StoreWriteError>>;
}

/** Changes that are written together with a lease. */
export type LeaseCompanions = Partial<RowTransaction>;

/** One lease in the shared rows, as this VM sees and writes it. */
export class LeaseRow {
  constructor(
    private readonly kind: LeaseKind,
    private readonly deps: LeaseRowDependencies,
  ) {}

  /** The lease with the version of its row. */
  get current(): Versioned<CoordinatorLease> | undefined {
    return this.kind.rowOf(this.deps.view().rows);
  }

  /** The era of the store's rows. */
  get era(): number {
    return eraOf(this.deps.view().version);
  }

  /** Decides whether this VM may acquire the lease. */
  decide(now: number): CoordinatorLeaseDecision {
    const view = this.deps.view();
    return decideCoordinatorLease(
      this.deps.vm,
      this.current?.value,
      earliestStoreTime(view.storeClock, now),
      leaseEra(view, now),
      this.kind.terms,
    );
  }

  /** Whether this VM holds a lease for at least another `forMs`. */
  holds(lease: CoordinatorLease, forMs: number, now: number): boolean {
    const latest = latestStoreTime(this.deps.view().storeClock, now);
    const {vm} = this.deps;
    const {terms} = this.kind;
    return holdsCoordinatorLease(vm, lease, latest, forMs, this.era, terms);
  }

  /** How long this VM still holds the lease for certain; 0 if it does not. */
  leftMs(now: number): number {
    const lease = this.current?.value;
    if (!lease || !this.holds(lease, 0, now)) return 0;
    const latest = latestStoreTime(this.deps.view().storeClock, now);
    return lease.takenAt + this.kind.terms.durationMs - latest;
  }

  /** Acquires the lease under a fencing number that `decide` returned. */
  acquire(
    fence: number,
    now: number,
  ): Promise<Result<TransactionResult, StoreWriteError>> {
    const {vm, view} = this.deps;
    const takenAt = latestStoreTime(view().storeClock, now);
    const era = leaseEra(view(), now).number;
    return this.write({holder: vm, fence, takenAt, era}, {});
  }

  /**
   * Extends the lease under the same number, together with other changes;
   * undefined if this VM does not hold it.
   */
  async extend(
    now: number,
    companions: LeaseCompanions = {},
  ): Promise<Result<TransactionResult, StoreWriteError> | undefined> {
    const lease = this.current?.value;
    if (lease?.holder !== this.deps.vm) return undefined;
    if (!isOfEra(lease, this.era)) return undefined;
    const takenAt = latestStoreTime(this.deps.view().storeClock, now);
    return this.write({...lease, takenAt}, companions);
  }

  private write(
    record: CoordinatorLease,
    {expected, puts, removals = []}: LeaseCompanions,
  ): Promise<Result<TransactionResult, StoreWriteError>> {
    const {key} = this.kind;
    const version = this.current?.version ?? 0;
    return this.deps.transact({
      expected: new Map([[key, version], ...(expected ?? [])]),
      puts: new Map([[key, JSON.stringify(record)], ...(puts ?? [])]),
      removals,
    });
  }
}
