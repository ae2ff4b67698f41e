import {DEFAULT_ROUTE, fail, ok} from '@pistachiorill/core';
import type {
  Refusal,
  Result,
  RoutedStatement,
  StatementReply,
} from '@pistachiorill/core';
import {MYSQL_ERRNO} from '@pistachiorill/mysql';
import type {BackendError} from '@pistachiorill/mysql';
import type {Clock} from '@pistachiorill/tasks';
import type {StatementCheckout} from './statement_stages.js';
import {callBackend} from './backend_call.js';
import type {BackendResult} from './backend_call.js';
import {toRefusal} from './backend_refusal.js';
import type {ConfirmFilter} from './confirm_filter.js';
import {TransactionHandle} from './group_executor.js';
import type {Reuse} from './group_message.js';
import type {GroupTask} from './group_task.js';
import {LOG_END_QUERY, decodeLogEnd} from './log_end.js';
import {insertRequestSql, requestKeyOf} from './request_record.js';

/** Time limit for a ROLLBACK, which has no deadline of a caller. */
const ROLLBACK_TIMEOUT_MS = 2_000;

/** Errors after which MySQL has rolled back the whole transaction. */
const ROLLED_BACK_ERRNOS: ReadonlySet<number> = new Set([
  MYSQL_ERRNO.deadlock,
  MYSQL_ERRNO.lockWaitTimeout,
]);

/** A transaction on one checked-out connection to the primary. */
export class LocalTransaction extends TransactionHandle {
  private state: 'open' | 'ended' = 'open';

  constructor(
    private readonly checkout: StatementCheckout,
    private readonly group: GroupTask,
    private readonly confirm: ConfirmFilter,
    private readonly clock: Clock,
  ) {
    super();
  }

  override async execute(
    statement: RoutedStatement,
  ): Promise<Result<StatementReply, Refusal>> {
    if (this.state === 'ended') return lostRefusal('the transaction has ended');
    const claimed = await this.claim(statement);
    if (!claimed.ok) return this.failed(claimed.err);
    const answer = await this.call(statement.sql, statement.deadline);
    if (!answer.ok) return this.failed(answer.err);
    const {member} = this.checkout;
    return ok({
      result: answer.value,
      seen: undefined,
      database: statement.database,
      backendServer: member.backendServer,
      servedBy: member.servedBy,
    });
  }

  override async commit(
    deadline: number,
  ): Promise<Result<StatementReply, Refusal>> {
    if (this.state === 'ended') return lostRefusal('the transaction has ended');
    const committed = await this.call('COMMIT', deadline);
    if (!committed.ok) {
      this.end('close');
      const {err} = committed;
      return err.kind === 'not-run'
        ? lostRefusal(err.detail)
        : fail(toRefusal(err));
    }
    const answer = await this.call(LOG_END_QUERY, deadline);
    this.end(answer.ok ? 'reuse' : 'close');
    const {statement, member} = this.checkout;
    const entry = answer.ok
      ? decodeLogEnd(answer.value, member.term)
      : undefined;
    if (!entry) {
      return fail({
        kind: 'outcome-unknown',
        detail: 'the log position of the commit is not known',
      });
    }
    return this.confirm.run({
      statement: {...statement, deadline, route: DEFAULT_ROUTE},
      member,
      result: committed.value,
      entry,
    });
  }

  override async rollback(): Promise<void> {
    if (this.state === 'ended') return;
    const deadline = this.clock() + ROLLBACK_TIMEOUT_MS;
    const answer = await this.call('ROLLBACK', deadline);
    this.end(answer.ok ? 'reuse' : 'close');
  }

  /** Inserts the request id of a statement, if any, in this transaction. */
  private async claim(
    statement: RoutedStatement,
  ): Promise<Result<unknown, BackendError>> {
    const key = requestKeyOf(statement);
    if (!key) return ok(undefined);
    return this.call(insertRequestSql(key), statement.deadline);
  }

  private call(sql: string, deadline: number): Promise<BackendResult> {
    return callBackend(this.checkout.backend, sql, deadline, this.clock);
  }

  /**
   * Handles an error of a statement. An error that MySQL reports for the
   * statement alone leaves the transaction open. After any other error the
   * connection is closed, which rolls the transaction back.
   */
  private failed(err: BackendError): Result<never, Refusal> {
    const open =
      err.kind === 'statement-error' && !ROLLED_BACK_ERRNOS.has(err.errno);
    if (open) return fail(toRefusal(err));
    this.end('close');
    return lostRefusal(err.detail);
  }

  private end(reuse: Reuse): void {
    if (this.state === 'ended') return;
    this.state = 'ended';
    const {backend} = this.checkout;
    this.group.tell({kind: 'release', backend, reuse});
  }
}

function lostRefusal(detail: string): Result<never, Refusal> {
  return fail({kind: 'transaction-lost', detail});
}
