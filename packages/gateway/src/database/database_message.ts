import type {
  GroupSettings,
  LogPosition,
  PrimarySighting,
  Result,
  VersionedLeadership,
} from '@pistachiorill/core';
import type {Reply} from '@pistachiorill/tasks';
import type {ListedMember} from '../ports/member_directory.js';
import type {LinkFault, MemberStatus} from '../ports/member_link.js';
import type {Lease, LeaseRefusal, LeaseRequest} from './lease.js';
import type {HeardAnswer, MemberConnection} from './member_connection.js';

/** A member's report, or why there is none. */
export type StatusResult = Result<MemberStatus, LinkFault | 'unreadable'>;

/** What operators and the directory say of a group. */
export interface GroupView {
  readonly settings: GroupSettings;
  readonly members: readonly ListedMember[];
  readonly dataCentresOut: ReadonlySet<string>;
  /** The VMs that share each member's connections. */
  readonly vmCount: number;
}

/** How the use of a primary ends. */
export type StopMode =
  /** Statements under way may finish. */
  | 'finish'
  /** Nothing more is expected of the member. */
  | 'abandon';

/** Whether a member still had the role under which it was leased. */
export type LeaseValidity = 'valid' | 'expired';

export type DatabaseMessage =
  | {readonly kind: 'view'; readonly view: GroupView}
  | {
      readonly kind: 'leadership';
      readonly leadership: VersionedLeadership | undefined;
    }
  | {
      readonly kind: 'lease';
      readonly request: LeaseRequest;
      readonly reply: Reply<Result<Lease, LeaseRefusal>>;
    }
  | {readonly kind: 'release'; readonly lease: Lease}
  /** Asks whether the answer of a lease's member may be passed on. */
  | {
      readonly kind: 'confirm';
      readonly lease: Lease;
      readonly reply: Reply<LeaseValidity>;
    }
  | {
      readonly kind: 'behind';
      readonly member: string;
      readonly applied: LogPosition | undefined;
    }
  | {readonly kind: 'not-primary'; readonly member: string}
  | {
      readonly kind: 'sent';
      readonly member: string;
      readonly connection: MemberConnection;
    }
  | {
      readonly kind: 'answered';
      readonly member: string;
      readonly connection: MemberConnection;
      readonly heard: HeardAnswer;
      readonly at: number;
    }
  | {
      readonly kind: 'fault';
      readonly member: string;
      readonly connection: MemberConnection;
      readonly fault: LinkFault;
    }
  | {
      readonly kind: 'probed';
      readonly member: string;
      readonly status: StatusResult;
    }
  /** Ends the use of the primary as of a version of its record. */
  | {
      readonly kind: 'stop-primary';
      readonly leadership: VersionedLeadership;
      readonly mode: StopMode;
      readonly reply: Reply<LogPosition | undefined>;
    }
  | {readonly kind: 'sight'; readonly reply: Reply<PrimarySighting>}
  | {
      readonly kind: 'status';
      readonly member: string;
      readonly reply: Reply<StatusResult>;
    }
  | {
      readonly kind: 'step-down';
      readonly member: string;
      readonly term: number;
    }
  | {readonly kind: 'tick'}
  | {readonly kind: 'close'};
