import {
  rankDelayMs,
  rendezvousOrder,
  usageLeaseTerms,
} from '@pistachiorill/core';
import type {UsageBounds, UsageLeaseState} from '@pistachiorill/core';
import {isStoreResponsive} from '../fleet/fleet_view.js';
import {LeaseRow, usageLease} from '../leadership/lease_row.js';
import type {LeaseRowDependencies} from '../leadership/lease_row.js';
import type {PeerSet} from '../peers/peer_set.js';

/** Key by which the VMs are ordered. */
const ORDER_KEY = 'usage';

/** Collaborators of the usage lease. */
export interface RankedLeaseDependencies extends LeaseRowDependencies {
  readonly bounds: UsageBounds;
  readonly peers: PeerSet;
}

/** The usage lease, which a VM acquires after a pause by its rank. */
export class RankedLease {
  readonly row: LeaseRow;
  private freeSince: number | undefined;

  constructor(private readonly deps: RankedLeaseDependencies) {
    this.row = new LeaseRow(usageLease(usageLeaseTerms(deps.bounds)), deps);
  }

  /** The fencing number of the present lease. */
  get fence(): number | undefined {
    return this.row.current?.value.fence;
  }

  /** The lease as this VM sees it; a free one is waited for by rank. */
  state(now: number): UsageLeaseState {
    const leftMs = this.row.leftMs(now);
    if (leftMs > 0) return {kind: 'held', leftMs};
    if (this.row.decide(now).kind !== 'take') {
      this.freeSince = undefined;
      return {kind: 'not-available'};
    }
    this.freeSince ??= now;
    const isOwn = this.row.current?.value.holder === this.deps.vm;
    const waitMs = isOwn ? 0 : this.rankDelay();
    return now - this.freeSince >= waitMs
      ? {kind: 'free'}
      : {kind: 'not-available'};
  }

  /** Starts the pause anew while the store does not answer. */
  noteStore(now: number): void {
    if (!isStoreResponsive(this.deps.view(), now)) this.freeSince = undefined;
  }

  private rankDelay(): number {
    const {vm, peers} = this.deps;
    const names = peers.names.filter(name => !peers.isUnresponsive(name));
    return rankDelayMs(rendezvousOrder(ORDER_KEY, [vm, ...names]).indexOf(vm));
  }
}
