import type {
  LogPosition,
  RoutedStatement,
  StatementResult,
} from '@pistachiorill/core';
import type {BackendTask} from '../backend/backend_task.js';
import type {ChosenMember} from './group_message.js';

/** A statement and the member that was chosen for it. */
export interface ChosenStatement {
  readonly statement: RoutedStatement;
  readonly member: ChosenMember;
}

/** A statement and the connection to its member that is checked out for it. */
export interface StatementCheckout extends ChosenStatement {
  readonly backend: BackendTask;
}

/** An executed statement that is not confirmed yet. */
export interface ExecutedStatement extends ChosenStatement {
  readonly result: StatementResult;
  /** The end of the member's log after a write; undefined after a read. */
  readonly entry: LogPosition | undefined;
}
