import {fail} from '@pistachiorill/core';
import type {Refusal, Result, StatementResult} from '@pistachiorill/core';
import {MYSQL_ERRNO} from '@pistachiorill/mysql';
import type {BackendError} from '@pistachiorill/mysql';
import type {StatementCheckout} from './statement_stages.js';
import {toRefusal} from './backend_refusal.js';
import {
  CREATE_REQUEST_TABLE,
  decodeRequestRecord,
  insertRequestSql,
  requestKeyOf,
  selectRequestSql,
  updateRequestSql,
} from './request_record.js';
import type {RequestKey} from './request_record.js';
import {StatementRunner} from './statement_runner.js';
import type {RunOutcome} from './statement_runner.js';

type SqlResult = Result<StatementResult, BackendError>;

/**
 * Executes a write that has a request id. The write and the record of its id
 * are committed in one transaction, so a repeat finds the record through any
 * VM, also after a failover, and returns the recorded outcome.
 */
export class RecordedRunner extends StatementRunner {
  override async run(
    checkout: StatementCheckout,
  ): Promise<Result<RunOutcome, Refusal>> {
    const key = requestKeyOf(checkout.statement);
    if (!key) {
      return fail({kind: 'malformed-options', detail: 'no request id'});
    }
    const claimed = await this.claim(checkout, key);
    if (!claimed.ok) return this.handleClaimError(checkout, key, claimed.err);
    const {sql} = checkout.statement;
    const result = await this.call(checkout, sql);
    if (!result.ok) return this.rollBack(checkout, result.err);
    const recorded = await this.call(
      checkout,
      updateRequestSql(key, result.value),
    );
    if (!recorded.ok) return this.rollBack(checkout, recorded.err);
    const committed = await this.call(checkout, 'COMMIT');
    if (!committed.ok) return fail(toRefusal(committed.err));
    return this.withLogEnd(checkout, result.value);
  }

  /** Begins the transaction and inserts the request id. */
  private async claim(
    checkout: StatementCheckout,
    key: RequestKey,
  ): Promise<SqlResult> {
    const begun = await this.call(checkout, 'BEGIN');
    return begun.ok ? this.call(checkout, insertRequestSql(key)) : begun;
  }

  private async handleClaimError(
    checkout: StatementCheckout,
    key: RequestKey,
    err: BackendError,
  ): Promise<Result<RunOutcome, Refusal>> {
    if (err.kind !== 'statement-error') return this.rollBack(checkout, err);
    switch (err.errno) {
      case MYSQL_ERRNO.duplicateKey:
        return this.answerFromRecord(checkout, key);
      case MYSQL_ERRNO.noSuchTable:
        return this.createTableAndRerun(checkout);
      default:
        return this.rollBack(checkout, err);
    }
  }

  /** Returns the recorded outcome of the first execution. */
  private async answerFromRecord(
    checkout: StatementCheckout,
    key: RequestKey,
  ): Promise<Result<RunOutcome, Refusal>> {
    const ended = await this.call(checkout, 'ROLLBACK');
    if (!ended.ok) return this.rollBack(checkout, ended.err);
    const found = await this.call(checkout, selectRequestSql(key));
    if (!found.ok) return this.rollBack(checkout, found.err);
    const record = decodeRequestRecord(found.value);
    if (!record) {
      return fail({
        kind: 'no-member',
        detail: 'the first execution was rolled back meanwhile',
      });
    }
    if (record.fingerprint !== key.fingerprint) {
      return fail({
        kind: 'request-id-conflict',
        detail: `request id ${key.requestId} belongs to another statement`,
      });
    }
    const {affectedRows, insertId} = record;
    return this.withLogEnd(checkout, {kind: 'done', affectedRows, insertId});
  }

  /** Creates the request table on first use and runs the statement again. */
  private async createTableAndRerun(
    checkout: StatementCheckout,
  ): Promise<Result<RunOutcome, Refusal>> {
    const ended = await this.call(checkout, 'ROLLBACK');
    const created = ended.ok
      ? await this.call(checkout, CREATE_REQUEST_TABLE)
      : ended;
    return created.ok
      ? this.run(checkout)
      : this.rollBack(checkout, created.err);
  }

  /**
   * Rolls back after an error that came before COMMIT was sent. If the
   * connection failed, closing it rolls the transaction back as well, so the
   * statement certainly had no effect.
   */
  private async rollBack(
    checkout: StatementCheckout,
    err: BackendError,
  ): Promise<Result<RunOutcome, Refusal>> {
    if (err.kind !== 'statement-error') {
      checkout.backend.tell({kind: 'close'});
      return fail({kind: 'no-member', detail: err.detail});
    }
    await this.call(checkout, 'ROLLBACK');
    return fail(toRefusal(err));
  }
}
