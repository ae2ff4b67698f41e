import {fail, ok} from '@pistachiorill/core';
import type {
  LogPosition,
  Refusal,
  Result,
  StatementResult,
} from '@pistachiorill/core';
import type {Clock} from '@pistachiorill/tasks';
import type {StatementCheckout} from './statement_stages.js';
import {callBackend} from './backend_call.js';
import type {BackendResult} from './backend_call.js';
import {LOG_END_QUERY, decodeLogEnd} from './log_end.js';

/** The result of an executed statement that is not confirmed yet. */
export interface RunOutcome {
  readonly result: StatementResult;
  /** The end of the member's log after a write; undefined after a read. */
  readonly entry: LogPosition | undefined;
}

/** Executes an autocommit statement on its checked-out connection. */
export abstract class StatementRunner {
  constructor(protected readonly clock: Clock) {}

  /** Executes the statement within its deadline. */
  abstract run(
    checkout: StatementCheckout,
  ): Promise<Result<RunOutcome, Refusal>>;

  protected call(
    checkout: StatementCheckout,
    sql: string,
  ): Promise<BackendResult> {
    return callBackend(
      checkout.backend,
      sql,
      checkout.statement.deadline,
      this.clock,
    );
  }

  /**
   * Adds the end of the log to the result of a committed write. Without it the
   * write cannot be confirmed, so its outcome is unknown.
   */
  protected async withLogEnd(
    checkout: StatementCheckout,
    result: StatementResult,
  ): Promise<Result<RunOutcome, Refusal>> {
    const answer = await this.call(checkout, LOG_END_QUERY);
    const entry = answer.ok
      ? decodeLogEnd(answer.value, checkout.member.term)
      : undefined;
    if (entry) return ok({result, entry});
    return fail({
      kind: 'outcome-unknown',
      detail: 'the log position of the write is not known',
    });
  }
}
