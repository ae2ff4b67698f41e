import {
  eraOf,
  holdsCoordinatorLease,
  isOfEra,
  latestStoreTime,
} from '@pistachiorill/core';
import type {CoordinatorLease} from '@pistachiorill/core';
import {sleep} from '@pistachiorill/tasks';
import {COORDINATOR_LEASE_KEY} from '../fleet/fleet_rows.js';
import type {PrimaryChangeDependencies} from './primary_change_dependencies.js';

/** The time limit of an order to promote a member. */
export const ORDER_TIMEOUT_MS = 1_000;
/** The pause after a write to the store that did not succeed. */
export const STORE_RETRY_MS = 150;

/** Collaborators for holding the coordinator lease. */
export type CoordinatorLeaseHolderDependencies = Pick<
  PrimaryChangeDependencies,
  'vm' | 'view' | 'transact' | 'clock'
>;

/** The coordinator lease of one primary change, under one fencing number. */
export class CoordinatorLeaseHolder {
  constructor(
    private readonly fence: number,
    private readonly deps: CoordinatorLeaseHolderDependencies,
  ) {}

  /** Whether the lease lasts long enough to order one more promotion. */
  holds(lease: CoordinatorLease, now: number): boolean {
    return (
      lease.fence === this.fence &&
      holdsCoordinatorLease(
        this.deps.vm,
        lease,
        latestStoreTime(this.deps.view().storeClock, now),
        ORDER_TIMEOUT_MS,
        this.era(),
      )
    );
  }

  /** Whether the lease has been acquired under another number since. */
  isTakenOver(): boolean {
    return this.deps.view().rows.duty?.value.fence !== this.fence;
  }

  /**
   * Extends the lease during a wait if it would otherwise end, so that no other
   * VM starts to run the same change. Returns undefined if that is not needed.
   */
  async renewIfNeeded(now: number): Promise<'extended' | 'lost' | undefined> {
    const lease = this.deps.view().rows.duty;
    if (!lease || lease.value.fence !== this.fence) return undefined;
    if (this.holds(lease.value, now)) return undefined;
    return (await this.renew(now)) ? 'extended' : 'lost';
  }

  /**
   * Extends the lease under the same number. Returns false if the lease is lost:
   * another VM holds it, this VM holds it under another number, or its row
   * changed meanwhile.
   */
  async renew(now: number): Promise<boolean> {
    const view = this.deps.view();
    const lease = view.rows.duty;
    if (!lease || lease.value.holder !== this.deps.vm) return false;
    if (lease.value.fence !== this.fence) return false;
    if (!isOfEra(lease.value, this.era())) return false;
    const takenAt = latestStoreTime(view.storeClock, now);
    const record: CoordinatorLease = {...lease.value, takenAt};
    const result = await this.deps.transact({
      expected: new Map([[COORDINATOR_LEASE_KEY, lease.version]]),
      puts: new Map([[COORDINATOR_LEASE_KEY, JSON.stringify(record)]]),
    });
    if (!result.ok) await sleep(STORE_RETRY_MS);
    return result.ok || result.err.kind !== 'conflict';
  }

  /** The era of the store's rows. */
  private era(): number {
    return eraOf(this.deps.view().version);
  }
}
