import type {
  AuthorityEvent,
  MembershipEvent,
  PeerRecord,
} from '@pistachiorill/core';
import type {
  Gossip,
  ProbeIndirectAnswer,
  StatusAnswer,
} from '@pistachiorill/peers';
import type {ListedVm} from '@pistachiorill/store';
import type {Reply} from '@pistachiorill/tasks';

/** Messages to the task that owns the view of the fleet. */
export type MembershipMessage =
  | {readonly kind: 'start'}
  | {readonly kind: 'tick'}
  | {readonly kind: 'read-list'}
  | {readonly kind: 'retain-clients'}
  | {readonly kind: 'listed'; readonly vms: readonly ListedVm[]}
  | {
      readonly kind: 'probed';
      readonly gossip: Gossip;
      readonly reply: Reply<Gossip>;
    }
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
  | {
      readonly kind: 'probe-indirect';
      readonly target: PeerRecord;
      readonly reply: Reply<ProbeIndirectAnswer>;
    }
  /** A row was read, or a version came into force. */
  | {readonly kind: 'authority'; readonly event: AuthorityEvent}
  | {readonly kind: 'status'; readonly reply: Reply<StatusAnswer>}
  /** Tells peers that this VM leaves; answered when they have been told. */
  | {readonly kind: 'leave'; readonly reply: Reply<void>}
  /** Tells peers that this VM takes work again. */
  | {readonly kind: 'return'};
