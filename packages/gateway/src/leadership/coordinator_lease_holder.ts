import type {CoordinatorLease} from '@pistachiorill/core';
import {sleep} from '@pistachiorill/tasks';
import {COORDINATOR_LEASE, LeaseRow} from './lease_row.js';
import type {PrimaryChangeDependencies} from './primary_change_dependencies.js';

/** The time limit of an order to promote a member. */
export const ORDER_TIMEOUT_MS = 1_000;
/** The pause after a write to the store that did not succeed. */
export const STORE_RETRY_MS = 150;

/** Collaborators for holding the coordinator lease. */
export type CoordinatorLeaseHolderDependencies = Pick<
  PrimaryChangeDependencies,
  'vm' | 'view' | 'transact'
>;

/** The coordinator lease of one primary change, under one fencing number. */
export class CoordinatorLeaseHolder {
  private readonly row: LeaseRow;

  constructor(
    private readonly fence: number,
    deps: CoordinatorLeaseHolderDependencies,
  ) {
    this.row = new LeaseRow(COORDINATOR_LEASE, deps);
  }

  /** Whether the lease lasts long enough to order one more promotion. */
  holds(lease: CoordinatorLease, now: number): boolean {
    return (
      lease.fence === this.fence && this.row.holds(lease, ORDER_TIMEOUT_MS, now)
    );
  }

  /** Whether the lease has been acquired under another number since. */
  isTakenOver(): boolean {
    return this.row.current?.value.fence !== this.fence;
  }

  /**
   * Extends the lease during a wait if it would otherwise end, so that no other
   * VM starts to run the same change. Returns undefined if that is not needed.
   */
  async renewIfNeeded(now: number): Promise<'extended' | 'lost' | undefined> {
    const lease = this.row.current;
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
    if (this.isTakenOver()) return false;
    const result = await this.row.extend(now);
    if (!result) return false;
    if (!result.ok) await sleep(STORE_RETRY_MS);
    return result.ok || result.err.kind !== 'conflict';
  }
}
