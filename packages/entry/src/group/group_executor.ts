import type {
  Refusal,
  Result,
  RoutedStatement,
  StatementReply,
} from '@pistachiorill/core';

/** An open transaction of one caller. */
export abstract class TransactionHandle {
  /** Executes a statement in the transaction. */
  abstract execute(
    statement: RoutedStatement,
  ): Promise<Result<StatementReply, Refusal>>;

  /** Commits and waits for the confirmation until the deadline. */
  abstract commit(deadline: number): Promise<Result<StatementReply, Refusal>>;

  /** Rolls back. May be called at any time, also after an error. */
  abstract rollback(): Promise<void>;
}

/**
 * Executes statements of one database group, either over this VM's own
 * connections or through the VM that owns the group.
 */
export abstract class GroupExecutor {
  /** Executes an autocommit statement. */
  abstract execute(
    statement: RoutedStatement,
  ): Promise<Result<StatementReply, Refusal>>;

  /**
   * Opens a transaction. The statement supplies the caller, the database and
   * the deadline; it is not executed.
   */
  abstract begin(
    statement: RoutedStatement,
  ): Promise<Result<TransactionHandle, Refusal>>;
}
