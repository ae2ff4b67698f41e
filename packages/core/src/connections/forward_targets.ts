import {rendezvousOrder} from '../common/rendezvous.js';
import type {PeerState} from '../membership/peer_record.js';
import type {OwnerCandidate} from './group_owners.js';

/** An owner of a group with its membership state on the forwarding VM. */
export interface OwnerView extends OwnerCandidate {
  readonly state: PeerState;
}

/**
 * Returns the owners that a VM may forward to: those in its own data centre
 * first, suspected ones last. Owners of equal rank are ordered by rendezvous
 * hashing of the VM's name, so that the VMs of a data centre without an owner
 * spread over the other owners.
 */
export function forwardTargets(
  self: OwnerCandidate,
  owners: readonly OwnerView[],
): OwnerView[] {
  const spreadOrder = rendezvousOrder(
    self.vm,
    owners.map(owner => owner.vm),
  );
  const cost = (owner: OwnerView): number =>
    (owner.state === 'suspect' ? 2 : 0) +
    (owner.dataCentre === self.dataCentre ? 0 : 1);
  return owners
    .filter(owner => owner.state === 'alive' || owner.state === 'suspect')
    .sort(
      (a, b) =>
        cost(a) - cost(b) ||
        spreadOrder.indexOf(a.vm) - spreadOrder.indexOf(b.vm),
    );
}
