import type {
  AuthorityEvent,
  MembershipEvent,
  PeerRecord,
} from '@pistachiorill/core';
import type {
  Gossip,
  ProbeIndirectResponse,
  StatusResponse,
} from '@pistachiorill/peers';
import type {ListedVm} from '@pistachiorill/store';
import type {Reply} from '@pistachiorill/tasks';

/** Messages to the membership task. */
export type MembershipMessage =
  /** Starts the periodic messages below. */
  | {readonly kind: 'start'}
  | {readonly kind: 'tick'}
  /** Reads the platform's list of VMs. */
  | {readonly kind: 'read-list'}
  /** Closes the clients of VMs that have been evicted. */
  | {readonly kind: 'retain-clients'}
  | {readonly kind: 'listed'; readonly vms: readonly ListedVm[]}
  /** A peer has probed this VM. */
  | {
      readonly kind: 'probed';
      readonly gossip: Gossip;
      readonly reply: Reply<Gossip>;
    }
  /** A peer has answered the probe that this VM sent at `sentAt`. */
  | {
      readonly kind: 'answered';
      readonly target: PeerRecord;
      readonly gossip: Gossip;
      readonly sentAt: number;
    }
  | {
      readonly kind: 'probe-failed' | 'indirect-finished';
      readonly event: MembershipEvent;
    }
  /** A peer asks this VM to probe `target` on its behalf. */
  | {
      readonly kind: 'probe-indirect';
      readonly target: PeerRecord;
      readonly reply: Reply<ProbeIndirectResponse>;
    }
  /** A row was read, or a version came into force. */
  | {readonly kind: 'authority'; readonly event: AuthorityEvent}
  | {readonly kind: 'status'; readonly reply: Reply<StatusResponse>}
  /** Announces that this VM leaves; answered when all probes have ended. */
  | {readonly kind: 'leave'; readonly reply: Reply<void>}
  /** Announces that this VM accepts work again. */
  | {readonly kind: 'return'};
