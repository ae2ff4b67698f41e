import {rendezvousOrder} from '../common/rendezvous.js';
import type {PeerState} from '../membership/peer_record.js';
import type {OwnerCandidate} from './group_owners.js';

/** An owner of a group as a forwarding VM sees it. */
export interface OwnerView extends OwnerCandidate {
  readonly state: PeerState;
}

/**
 * Orders the owners that a VM may forward to: its own data centre first, and
 * suspected ones last. Owners elsewhere are ordered by the VM's name, so that
 * the VMs of a data centre without an owner spread over the others.
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
        cost(a) - cost(b) || spreadOrder.indexOf(a.vm) - spreadOrder.indexOf(b.vm),
    );
}
