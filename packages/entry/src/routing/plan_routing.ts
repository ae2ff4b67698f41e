import {
  forwardTargets,
  groupOwners,
  mayOpenConnections,
} from '@pistachiorill/core';
import type {
  GroupConnectionLimit,
  LedgerVm,
  OwnerCandidate,
  PeerEntry,
  RoutingMode,
} from '@pistachiorill/core';
import type {OwnerTarget} from '../forward/owner_client.js';
import type {MembershipView} from '../membership/membership_view.js';

/** How this VM reaches one group. */
export interface GroupRoutingPlan {
  /** An owner connects to the members; a forwarder calls the owners. */
  readonly role: 'owner' | 'forwarder';
  /** The number of VMs among which the members' connections are divided. */
  readonly ownerCount: number;
  /** The other owners, in the order in which they are called. */
  readonly targets: readonly OwnerTarget[];
  /** The ledger version from which the owners were derived. */
  readonly ledgerVersion: number;
  /** All owners of the group, which may include this VM. */
  readonly owners: readonly OwnerCandidate[];
  /** Earlier owners that may still have connections open. */
  readonly releasing: readonly LedgerVm[];
}

/**
 * Decides which VMs own the connections to a group. While an earlier owner may
 * still have connections open, a VM does not become an owner, and the
 * connections are divided among no fewer VMs than before. This keeps the total
 * within the connection limit of each member.
 */
export function planRouting(
  group: GroupConnectionLimit,
  mode: RoutingMode,
  view: MembershipView,
  previous: GroupRoutingPlan | undefined,
): GroupRoutingPlan {
  const owners = groupOwners(group, mode, ownerCandidates(view));
  const releasing = ownersStillReleasing(view, previous);
  const allReleased = releasing.length === 0;
  const isOwner = owners.some(owner => owner.vm === view.self.vm);
  const wasOwner = previous?.role === 'owner';
  return {
    role: isOwner && (allReleased || wasOwner) ? 'owner' : 'forwarder',
    ownerCount: allReleased
      ? owners.length
      : Math.max(owners.length, previous?.ownerCount ?? 0),
    targets: targetsOf(view, owners),
    ledgerVersion: view.ledger.version,
    owners,
    releasing,
  };
}

/**
 * Returns the VMs that may own connections: those with a share in the ledger.
 * Before the first ledger these are all VMs that are running or listed as
 * candidates, because a VM that is left out of the division would open
 * connections that belong to the others.
 */
function ownerCandidates(view: MembershipView): readonly OwnerCandidate[] {
  if (view.ledger.vms.length > 0) return view.ledger.vms;
  if (view.discovery === 'pending') return [];
  return [
    view.self,
    ...view.peers.filter(isRunning).map(entry => entry.peer),
    ...view.candidates,
  ];
}

function isRunning(entry: PeerEntry): boolean {
  return entry.state === 'alive' || entry.state === 'suspect';
}

/** Returns owners of earlier ledgers that have not applied the current one. */
function ownersStillReleasing(
  view: MembershipView,
  previous: GroupRoutingPlan | undefined,
): LedgerVm[] {
  if (!previous || previous.ledgerVersion === 0) return [];
  const earlier =
    previous.ledgerVersion < view.ledger.version
      ? view.ledger.vms.filter(vm =>
          previous.owners.some(owner => owner.vm === vm.vm),
        )
      : [];
  const byInstance = new Map(
    [...previous.releasing, ...earlier].map(vm => [vm.instance, vm]),
  );
  return [...byInstance.values()].filter(vm => {
    if (vm.instance === view.self.instance) return false;
    const isListed = view.ledger.vms.some(
      item => item.instance === vm.instance,
    );
    const owner = {
      instance: vm.instance,
      appliedLedger: view.appliedLedgers.get(vm.instance) ?? 0,
      share: isListed ? ('held' as const) : ('reclaimed' as const),
    };
    return mayOpenConnections(view.ledger.version, [owner]) === 'wait';
  });
}

/** Returns the owners other than this VM, in the order to call them. */
function targetsOf(
  view: MembershipView,
  owners: readonly OwnerCandidate[],
): OwnerTarget[] {
  const entries = new Map(view.peers.map(entry => [entry.peer.vm, entry]));
  const addresses = new Map(
    view.peers.map(entry => [entry.peer.vm, entry.peer.address]),
  );
  const views = owners.flatMap(({vm, dataCentre}) => {
    const entry = entries.get(vm);
    return entry ? [{vm, dataCentre, state: entry.state}] : [];
  });
  return forwardTargets(view.self, views).map(owner => ({
    ...owner,
    address: addresses.get(owner.vm) ?? '',
  }));
}
