import type {
  BackendServer,
  FailedAttempt,
  GroupView,
  LogPosition,
  MemberChoice,
  MemberRequest,
  Refusal,
  Result,
  RetryDecision,
} from '@pistachiorill/core';
import type {Reply} from '@pistachiorill/tasks';
import type {BackendTask} from '../backend/backend_task.js';
import type {
  MemberControlCall,
  MemberControlResult,
  PollReply,
} from './member_control_task.js';

/** A member that was chosen for a statement. */
export type ChosenMember = Extract<MemberChoice, {kind: 'use'}>;

/**
 * A condition that a majority of the group must meet before a statement is
 * answered.
 */
export type QuorumProof =
  /** A majority has received the log entry in its term. */
  | {readonly kind: 'held'; readonly entry: LogPosition}
  /**
   * Polls sent since the given time show a majority that is not fenced above
   * the term, so that no later primary existed at that time.
   */
  | {
      readonly kind: 'unfenced';
      readonly term: number;
      readonly since: number;
    };

/** Whether the proof was completed before its time limit. */
export type ProofOutcome = 'proven' | 'expired';

/** Whether a connection may serve further statements after its return. */
export type Reuse = 'reuse' | 'close';

/** What a connection is checked out for. */
export type CheckoutUse = 'statement' | 'transaction';

/** The state of a group that failover decisions use. */
export interface GroupObservation {
  readonly view: GroupView;
  /**
   * Statements and transactions of this VM that run or wait on the primary,
   * plus one while the primary accepts new ones.
   */
  readonly running: number;
  /** The number of open transactions among them. */
  readonly transactions: number;
}

/** Messages that a `GroupTask` handles. */
export type GroupMessage =
  /** A poll of a member has ended. */
  | {readonly kind: 'polled'; readonly poll: PollReply}
  /** Replaces the members of the group. */
  | {
      readonly kind: 'configure';
      readonly servers: readonly BackendServer[];
    }
  /** Asks for a member to execute a statement, and waits for one if needed. */
  | {
      readonly kind: 'choose';
      readonly request: Omit<MemberRequest, 'avoid'>;
      readonly until: number;
      readonly reply: Reply<Result<ChosenMember, Refusal>>;
    }
  /** Checks out a connection to a member. */
  | {
      readonly kind: 'acquire';
      readonly backendServer: string;
      readonly workspace: string;
      readonly use: CheckoutUse;
      readonly until: number;
      readonly reply: Reply<Result<BackendTask, Refusal>>;
    }
  /** Returns a connection to its pool. */
  | {
      readonly kind: 'release';
      readonly backend: BackendTask;
      readonly reuse: Reuse;
    }
  /** Waits for a quorum proof. */
  | {
      readonly kind: 'prove';
      readonly proof: QuorumProof;
      readonly until: number;
      readonly reply: Reply<ProofOutcome>;
    }
  /** Adds to the retry budget. Sent once per statement, not per attempt. */
  | {readonly kind: 'request-started'}
  /** Asks whether a failed attempt may be repeated. */
  | {
      readonly kind: 'attempt-failed';
      readonly attempt: FailedAttempt;
      readonly reply: Reply<RetryDecision>;
    }
  | {readonly kind: 'view'; readonly reply: Reply<GroupView>}
  | {readonly kind: 'observe'; readonly reply: Reply<GroupObservation>}
  /** Calls a member over its control connection. */
  | {
      readonly kind: 'control';
      readonly backendServer: string;
      readonly call: MemberControlCall;
      readonly reply: Reply<MemberControlResult>;
    }
  /** Checks for expired deadlines. */
  | {readonly kind: 'tick'}
  | {readonly kind: 'close'};
