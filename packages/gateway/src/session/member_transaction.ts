import type {
  PreparedStatement,
  Result,
  SessionValues,
  StatementAccess,
} from '@pistachiorill/core';
import type {SessionRefusal} from '../ports/caller_link.js';
import type {MemberAnswer, MemberCommand} from '../ports/member_link.js';

/** A member's answer and the group whose log its position belongs to. */
export interface GroupAnswer {
  readonly answer: MemberAnswer;
  readonly group: string;
}

/** The answer, and the transaction if the statement opened one. */
export interface FirstAnswer extends GroupAnswer {
  readonly transaction: MemberTransaction | undefined;
}

/** A statement inside a transaction, which runs on its connection. */
export interface PinnedStatement {
  readonly id: string;
  readonly command: MemberCommand;
  readonly access: StatementAccess | 'commit';
  readonly prepared?: PreparedStatement | undefined;
  readonly values: SessionValues;
  /** The time at which the statement times out. */
  readonly deadline: number;
}

/** An open transaction of a session, on one connection to a member. */
export abstract class MemberTransaction {
  /** The id of its first statement. */
  abstract readonly request: string;
  /** The workspace that its statements run for. */
  abstract readonly workspace: string;
  /** The route's statement timeout when the transaction began. */
  abstract readonly statementTimeoutMs: number;

  /**
   * Runs a statement. Any failure ends the transaction, and so does a result
   * from a member that may have been replaced as the primary.
   */
  abstract run(
    statement: PinnedStatement,
  ): Promise<Result<GroupAnswer, SessionRefusal>>;

  /** Rolls back and returns the connection for reuse. */
  abstract rollback(values: SessionValues): Promise<void>;

  /** Rolls back without waiting, also while a statement runs. */
  abstract abandon(): void;
}
