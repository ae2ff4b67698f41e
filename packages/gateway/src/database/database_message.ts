import type {
  GroupSettings,
  LogPosition,
  PositionSamples,
  PrimaryObservation,
  Result,
  VersionedLeadership,
} from '@pistachiorill/core';
import type {Reply} from '@pistachiorill/tasks';
import type {ListedMember} from '../ports/member_directory.js';
import type {LinkFault, MemberStatus} from '../ports/member_link.js';
import type {Checkout, CheckoutRefusal, CheckoutRequest} from './checkout.js';
import type {ResponseInfo, MemberConnection} from './member_connection.js';

/** The status that a member reported, or why none was received. */
export type StatusResult = Result<MemberStatus, LinkFault | 'unreadable'>;

/**
 * A group as the configuration, the member directory and the fleet describe
 * it. The task receives a new one after each change of these sources.
 */
export interface GroupView {
  readonly settings: GroupSettings;
  readonly members: readonly ListedMember[];
  /** Data centres that operators took out; their members get no new work. */
  readonly dataCentresOut: ReadonlySet<string>;
  /** The number of VMs that share each member's connections. */
  readonly vmCount: number;
  /** Undefined if every VM uses its own connections. */
  readonly owners?: OwnerShare | undefined;
}

/** How the owners of a group share the connections of its members. */
export interface OwnerShare {
  /** Whether this VM is one of them. */
  readonly role: 'owner' | 'other';
  /** The number of all owners. */
  readonly count: number;
  /** The owners that serve the members of a data centre. */
  readonly near: (dataCentre: string) => {
    readonly count: number;
    readonly self: 'included' | 'not-included';
  };
}

/** How a VM stops using a primary. */
export type StopMode =
  /** Running statements may finish. */
  | 'finish'
  /** All connections close at once, without waiting for results. */
  | 'abandon';

/**
 * Whether a member still holds the role in which its connection was checked
 * out. A result from an expired checkout must not be passed on.
 */
export type CheckoutValidity = 'valid' | 'expired';

/** The messages that a group's task handles. */
export type DatabaseMessage =
  | {readonly kind: 'view'; readonly view: GroupView}
  | {
      readonly kind: 'leadership';
      readonly leadership: VersionedLeadership | undefined;
    }
  /** Checks out a connection for a statement or transaction. */
  | {
      readonly kind: 'check-out';
      readonly request: CheckoutRequest;
      readonly reply: Reply<Result<Checkout, CheckoutRefusal>>;
      /** Whether the request has waited for a position that a peer sampled. */
      readonly positions?: 'awaited';
    }
  /** Returns a checked-out connection to its pool. */
  | {readonly kind: 'return'; readonly checkout: Checkout}
  /** Checks whether a result of a checkout's member may be passed on. */
  | {
      readonly kind: 'confirm';
      readonly checkout: Checkout;
      readonly reply: Reply<CheckoutValidity>;
    }
  /** A replica refused a statement because it lacked the required position. */
  | {
      readonly kind: 'behind';
      readonly member: string;
      readonly applied: LogPosition | undefined;
    }
  /** A member refused a write although it is recorded as the primary. */
  | {readonly kind: 'not-primary'; readonly member: string}
  /** A connection sent a request to its member. */
  | {
      readonly kind: 'sent';
      readonly member: string;
      readonly connection: MemberConnection;
    }
  /** A connection received a complete response. */
  | {
      readonly kind: 'answered';
      readonly member: string;
      readonly connection: MemberConnection;
      readonly info: ResponseInfo;
      readonly at: number;
    }
  /** A request on a connection got no complete response. */
  | {
      readonly kind: 'fault';
      readonly member: string;
      readonly connection: MemberConnection;
      readonly fault: LinkFault;
    }
  /** The result of a status probe of a failed member. */
  | {
      readonly kind: 'probed';
      readonly member: string;
      readonly status: StatusResult;
    }
  /**
   * Stops using the primary that the given version of the leadership record
   * replaces. The reply is the latest log position observed at the primary.
   */
  | {
      readonly kind: 'stop-primary';
      readonly leadership: VersionedLeadership;
      readonly mode: StopMode;
      readonly reply: Reply<LogPosition | undefined>;
    }
  /** Requests this VM's primary observation. */
  | {readonly kind: 'sight'; readonly reply: Reply<PrimaryObservation>}
  /** Queries a member's status over a new connection. */
  | {
      readonly kind: 'status';
      readonly member: string;
      readonly reply: Reply<StatusResult>;
    }
  /** Demotes a member that leads in a term lower than `term`. */
  | {
      readonly kind: 'step-down';
      readonly member: string;
      readonly term: number;
    }
  /** Positions of the primary that a peer sampled; none if it has none. */
  | {readonly kind: 'positions'; readonly samples: PositionSamples}
  /** Requests the positions of the primary that this VM knows. */
  | {readonly kind: 'samples'; readonly reply: Reply<PositionSamples>}
  /** Asks the primary for the end of its log, if that is not known. */
  | {readonly kind: 'sample-primary'}
  /** Runs the periodic maintenance. */
  | {readonly kind: 'tick'}
  | {readonly kind: 'close'};
