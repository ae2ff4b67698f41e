import type {
  LogPosition,
  MemberRole,
  PreparedStatement,
  Result,
} from '@pistachiorill/core';

/** The member to connect to, as the directory lists it. */
export interface MemberTarget {
  readonly member: string;
  readonly address: string;
  readonly group: string;
}

/** A command that a VM sends to a member. */
export type MemberCommand =
  | {readonly kind: 'begin'; readonly access: 'read' | 'write'}
  | {readonly kind: 'commit'}
  | {readonly kind: 'rollback'}
  /** A caller's statement text, unchanged. */
  | {readonly kind: 'statement'; readonly text: string}
  | {
      readonly kind: 'execute';
      /** The name of the prepared statement on this connection. */
      readonly name: string;
      readonly parameters: string;
    }
  | {readonly kind: 'set'; readonly name: string; readonly value: string}
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly statement: PreparedStatement;
    }
  /** Clears the session values and prepared statements. */
  | {readonly kind: 'reset'}
  | {readonly kind: 'status'}
  /** Demotes a member that leads in a lower term. */
  | {readonly kind: 'step-down'; readonly term: number};

/** A command with its request id and the required log position. */
export interface MemberRequest {
  /** The caller's id of the statement; absent for commands of the VM. */
  readonly id?: string | undefined;
  readonly command: MemberCommand;
  /** The log position that the member must have applied. */
  readonly after?: LogPosition | undefined;
}

/** The errors of a member, by the way in which they are handled. */
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

/** An error that a member sent. */
export interface MemberError {
  readonly kind: MemberErrorKind;
  /** The code and text as the member sent them. */
  readonly code: string;
  readonly text: string;
}

/** The state of the transaction on a connection. */
export type TransactionState = 'none' | 'open' | 'failed';

/** The complete response of a member to one request. */
export interface MemberAnswer {
  readonly rows: readonly string[];
  readonly outcome:
    | {readonly kind: 'done'; readonly signature: string}
    | {readonly kind: 'error'; readonly error: MemberError};
  readonly transaction: TransactionState;
  /** The log position up to which reads see data. */
  readonly applied: LogPosition | undefined;
}

/** Why a request got no complete response. */
export type LinkFault =
  /** Nothing of the request was sent. */
  | {readonly kind: 'not-sent'; readonly detail: string}
  /** The member refused the connection before any request. */
  | {readonly kind: 'rejected'; readonly error: MemberError}
  /** The connection broke before the response was complete. */
  | {readonly kind: 'broken'; readonly detail: string}
  /** The response exceeds a limit of this VM, which closed the connection. */
  | {readonly kind: 'too-large'; readonly detail: string}
  /** No complete response arrived within the time limit. */
  | {readonly kind: 'silent'; readonly afterMs: number};

/** The role and log positions that a member reports. */
export interface MemberStatus {
  readonly role: MemberRole;
  readonly term: number;
  /** The log position up to which the member received entries. */
  readonly received: LogPosition;
  /** The log position up to which reads see data. */
  readonly applied: LogPosition;
}

/** One connection to a member, which runs one request at a time. */
export abstract class MemberLink {
  /** Whether the connection can run requests. */
  abstract get isUsable(): boolean;
  /** Connects; fails if the member does not accept in time. */
  abstract open(timeoutMs: number): Promise<Result<void, LinkFault>>;
  /** Sends a request and waits for its complete response. */
  abstract run(
    request: MemberRequest,
    timeoutMs: number,
  ): Promise<Result<MemberAnswer, LinkFault>>;
  /** Closes the connection; the member rolls back an open transaction. */
  abstract close(): void;
  /** Parses the response to `status` or `step-down`; undefined on failure. */
  abstract parseStatus(answer: MemberAnswer): MemberStatus | undefined;
}

/** Creates connections to members. */
export abstract class MemberLinkFactory {
  /**
   * Creates a connection, which is not open yet. The member receives the
   * workspace's name, but never its key.
   */
  abstract create(target: MemberTarget, workspace: string): MemberLink;
}
