import type {PeerRecord, Random} from '@pistachiorill/core';
import type {ListedVm, VmList} from '@pistachiorill/store';
import type {Clock} from '@pistachiorill/tasks';
import type {GossipPayloads} from './gossip_payloads.js';
import type {MembershipView} from './membership_view.js';

/** The collaborators of the membership task. */
export interface MembershipTools {
  readonly self: PeerRecord;
  /** The first incarnation; see `initialMembership`. */
  readonly incarnation: number;
  readonly list: VmList;
  readonly random: Random;
  readonly clock: Clock;
  readonly payloads: GossipPayloads;
  readonly onView: (view: MembershipView) => void;
  /** Called with the platform's list each time that it was read. */
  readonly onListed: (vms: readonly ListedVm[]) => void;
  readonly onFault: (err: unknown) => void;
}
