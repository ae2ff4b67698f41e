import type {
  LogPosition,
  MemberRole,
  PreparedStatement,
  Result,
} from '@pistachiorill/core';

/** A member of a group, as the directory lists it. */
export interface MemberTarget {
  readonly member: string;
  readonly address: string;
  readonly group: string;
}

/** What a VM sends to a member. */
export type MemberCommand =
  | {readonly kind: 'begin'; readonly access: 'read' | 'write'}
  | {readonly kind: 'commit'}
  | {readonly kind: 'rollback'}
  /** A caller's statement text, unchanged. */
  | {readonly kind: 'statement'; readonly text: string}
  | {
      readonly kind: 'execute';
      /** The name that the statement has on the connection. */
      readonly name: string;
      readonly parameters: string;
    }
  | {readonly kind: 'set'; readonly name: string; readonly value: string}
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly statement: PreparedStatement;
    }
  | {readonly kind: 'reset'}
  | {readonly kind: 'status'}
  /** Ends the lead of a member whose term is lower. */
  | {readonly kind: 'step-down'; readonly term: number};

export interface MemberRequest {
  /** The caller's id of the statement; absent for the VM's own. */
  readonly id?: string | undefined;
  readonly command: MemberCommand;
  /** The log position that the member must have applied. */
  readonly after?: LogPosition | undefined;
}

/** The errors of a member that lead to different decisions. */
export type MemberErrorKind =
  | 'busy'
  | 'behind'
  | 'not-primary'
  | 'wrong-member'
  | 'too-many-connections'
  | 'no-prepared-statement'
  | 'failed'
  | 'timed-out'
  | 'malformed'
  | 'other';

/** A member's error, as it is passed on to a caller. */
export interface MemberError {
  readonly kind: MemberErrorKind;
  /** The member's own code and text. */
  readonly code: string;
  readonly text: string;
}

export type TransactionState = 'none' | 'open' | 'failed';

/** A whole answer of a member. */
export interface MemberAnswer {
  readonly rows: readonly string[];
  readonly outcome:
    | {readonly kind: 'done'; readonly signature: string}
    | {readonly kind: 'error'; readonly error: MemberError};
  readonly transaction: TransactionState;
  /** The end of the member's log as reads see it. */
  readonly applied: LogPosition | undefined;
}

/** Why there is no whole answer. */
export type LinkFault =
  /** Nothing of the request was sent. */
  | {readonly kind: 'not-sent'; readonly detail: string}
  /** The member refused the connection before any request. */
  | {readonly kind: 'rejected'; readonly error: MemberError}
  | {readonly kind: 'broken'; readonly detail: string}
  | {readonly kind: 'silent'; readonly afterMs: number};

/** What a member says of itself. */
export interface MemberStatus {
  readonly role: MemberRole;
  readonly term: number;
  /** The end of the log that it received. */
  readonly received: LogPosition;
  /** The end of the log as reads see it. */
  readonly applied: LogPosition;
}

/** One connection to a member. It runs one request at a time. */
export abstract class MemberLink {
  abstract get isUsable(): boolean;
  abstract open(timeoutMs: number): Promise<Result<void, LinkFault>>;
  abstract run(
    request: MemberRequest,
    timeoutMs: number,
  ): Promise<Result<MemberAnswer, LinkFault>>;
  /** Ends the connection; the member rolls an open transaction back. */
  abstract close(): void;
  /** Reads the answer to `status` and to `step-down`. */
  abstract statusOf(answer: MemberAnswer): MemberStatus | undefined;
}

/** Opens connections to members. */
export abstract class MemberLinks {
  /** The member is told the workspace and never its key. */
  abstract create(target: MemberTarget, workspace: string): MemberLink;
}
