import type {PeerRecord, Random} from '@pistachiorill/core';
import type {ListedVm, VmList} from '@pistachiorill/store';
import type {Clock} from '@pistachiorill/tasks';
import type {GossipPayloads} from './gossip_payloads.js';
import type {MembershipView} from './membership_view.js';

/** The collaborators of the membership task. */
export interface MembershipDependencies {
  readonly self: PeerRecord;
  /** The initial incarnation; see `initialMembership`. */
  readonly incarnation: number;
  readonly list: VmList;
  readonly random: Random;
  readonly clock: Clock;
  readonly payloads: GossipPayloads;
  /** Called with the new view when a part of it has changed. */
  readonly onView: (view: MembershipView) => void;
  /** Called with the platform's list of VMs after each read. */
  readonly onListed: (vms: readonly ListedVm[]) => void;
  readonly onFault: (err: unknown) => void;
}
