import type {Result, StatementAccess} from '@pistachiorill/core';
import {Task} from '@pistachiorill/tasks';
import type {
  CallerEvent,
  CallerLink,
  CallerStatement,
  SessionRefusal,
} from '../ports/caller_link.js';
import {runFirstStatement} from './first_statement.js';
import {IdleTimer} from './idle_timer.js';
import type {GroupAnswer} from './member_transaction.js';
import {memberWorkOf} from './member_work.js';
import type {MemberStatement, MemberWork} from './member_work.js';
import {resolveCaller} from './route_filter.js';
import {checkAccess} from './session_access.js';
import type {SessionMessage, SessionDependencies} from './session_message.js';
import {SessionClosing} from './session_closing.js';
import {SessionHistory} from './session_history.js';
import {
  LOGIN_TOO_LARGE,
  MESSAGE_TOO_LARGE,
  NOT_OPEN,
  SESSION_FAILED,
  UNEXPECTED_ERROR,
  VM_STOPS,
} from './session_refusals.js';
import {LOCAL_REPLY, SessionSettings} from './session_settings.js';
import {
  recordAfterClose,
  recordRollback,
  recordSessionRefusal,
} from './session_records.js';
import type {RollbackReason} from './session_records.js';
import {replyAfterFailure, reportedState} from './session_transaction.js';
import type {SessionTransaction} from './session_transaction.js';
import {StatementReplies} from './statement_replies.js';

/** Owns a caller's session: values, prepared statements and transaction. */
export class SessionTask extends Task<SessionMessage> {
  private database = '';
  private key = '';
  private phase: 'new' | 'open' | 'closed' = 'new';
  private readonly closing: SessionClosing;
  private readonly settings: SessionSettings;
  private transaction: SessionTransaction = {kind: 'none'};
  private readonly history: SessionHistory;
  private readonly replies: StatementReplies;
  private readonly idleTimer = new IdleTimer(() =>
    this.tell({kind: 'transaction-idle'}),
  );

  constructor(
    private readonly link: CallerLink,
    private readonly deps: SessionDependencies,
    private readonly onEnded: () => void,
  ) {
    super();
    this.closing = new SessionClosing(link, () =>
      this.tell({kind: 'disconnect'}),
    );
    this.settings = new SessionSettings(deps.maxStateBytes);
    this.history = new SessionHistory(deps, () => this.database);
    this.replies = new StatementReplies(
      link,
      deps,
      () => this.database,
      () => this.transaction,
    );
  }

  protected override async handle(message: SessionMessage): Promise<void> {
    if (this.phase === 'closed') {
      recordAfterClose(this.deps, this.database, message);
      return;
    }
    await this.dispatch(message);
    await this.closeIfIdle();
  }

  private async dispatch(message: SessionMessage): Promise<void> {
    switch (message.kind) {
      case 'event':
        await this.event(message.event, message.receivedAt);
        return;
      case 'reconfigured':
        await this.handleReconfiguration();
        return;
      case 'drain':
        this.closing.drain(VM_STOPS);
        return;
      case 'close':
        this.closing.close(VM_STOPS);
        // Requests in the mailbox belong to the transaction that is given up.
        await this.failTransaction('session-ends');
        return;
      case 'disconnect':
        this.closing.disconnect();
        // A request can have arrived while this process did not run.
        await this.link.receivePending();
        return;
      case 'abort-transaction':
        await this.failTransaction('session-ends');
        return;
      case 'transaction-idle':
        await this.failTransaction('idle');
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.deps.log.error({event: 'session.failed', err}, 'session failed');
    if (!this.closing.isStarted) {
      this.closing.close(SESSION_FAILED);
      this.tell({kind: 'close'});
      return;
    }
    this.link.close();
    this.end();
    if (this.transaction.kind === 'open') {
      this.transaction.transaction.abandon();
    }
  }

  private async event(event: CallerEvent, receivedAt: number): Promise<void> {
    if (this.phase === 'new' && !['open', 'ended'].includes(event.kind)) {
      this.link.reject(event.kind === 'too-large' ? LOGIN_TOO_LARGE : NOT_OPEN);
      this.end();
      return;
    }
    if (this.closing.isRequested && event.kind !== 'ended') {
      const request = 'id' in event ? event.id : '';
      this.replies.refuseWhileClosing(request, this.closing.refuse());
      if (event.kind === 'too-large') await this.ended();
      return;
    }
    switch (event.kind) {
      case 'open':
        this.open(event.database, event.key);
        return;
      case 'statement':
        this.idleTimer.stop();
        await this.answerStatement(event, receivedAt);
        this.startTransactionTimeout();
        return;
      case 'malformed':
        this.replies.start(event.id);
        this.replies.refuse({kind: 'malformed', detail: event.detail});
        return;
      case 'too-large':
        this.replies.start('');
        this.replies.refuse(MESSAGE_TOO_LARGE);
        await this.ended();
        return;
      case 'ended':
        await this.ended();
        return;
    }
  }

  private open(database: string, key: string): void {
    const found = resolveCaller(this.deps.configuration(), database, key);
    if (!found.ok) {
      this.reject(database, found.err);
      return;
    }
    this.database = database;
    this.key = key;
    this.phase = 'open';
    this.link.accept();
  }

  private reject(database: string, refusal: SessionRefusal): void {
    recordSessionRefusal(this.deps, database, refusal);
    this.link.reject(refusal);
    this.end();
  }

  /** Runs a statement; an unexpected error is answered, once, as well. */
  private async answerStatement(
    {id, statement}: Extract<CallerEvent, {kind: 'statement'}>,
    receivedAt: number,
  ): Promise<void> {
    this.replies.start(id);
    try {
      await this.statement(id, statement, receivedAt);
    } catch (err) {
      // The caller would take a second answer for that of its next request.
      if (this.replies.isAnswered) throw err;
      this.deps.log.error({event: 'session.failed', err}, 'session failed');
      const {transaction} = this;
      const isEnded =
        transaction.kind === 'none' || statement.kind === 'commit';
      this.transaction = {kind: isEnded ? 'none' : 'failed'};
      this.replies.refuse(UNEXPECTED_ERROR);
      if (transaction.kind === 'open') transaction.transaction.abandon();
    }
  }

  private async statement(
    id: string,
    statement: CallerStatement,
    receivedAt: number,
  ): Promise<void> {
    if (this.transaction.kind === 'failed') {
      this.handleStatementAfterFailure(statement);
      return;
    }
    switch (statement.kind) {
      case 'set':
      case 'prepare':
      case 'deallocate':
        this.replies.send(this.settings.apply(statement));
        this.reportState();
        return;
      case 'begin':
        this.begin(statement.access);
        return;
      case 'rollback':
        await this.rollback();
        return;
      case 'commit':
      case 'statement':
      case 'execute':
        await this.run(id, statement, receivedAt);
        return;
    }
  }

  /** Refuses statements until a rollback or commit ends the transaction. */
  private handleStatementAfterFailure(statement: CallerStatement): void {
    const {reply, transaction} = replyAfterFailure(statement);
    if (transaction === 'ended') this.transaction = {kind: 'none'};
    this.replies.send(reply);
  }

  private begin(access: StatementAccess): void {
    if (this.transaction.kind !== 'none') {
      const detail = 'a transaction is open';
      this.replies.refuse({kind: 'malformed', detail});
      return;
    }
    this.transaction = {kind: 'begun', access};
    this.replies.send(LOCAL_REPLY);
  }

  private async rollback(): Promise<void> {
    const {transaction} = this;
    this.transaction = {kind: 'none'};
    this.replies.send(LOCAL_REPLY);
    if (transaction.kind !== 'open') return;
    await transaction.transaction.rollback(this.settings.values);
  }

  private async run(
    id: string,
    statement: MemberStatement,
    receivedAt: number,
  ): Promise<void> {
    const work = memberWorkOf(statement, this.settings);
    if (!work.ok) {
      this.replies.refuse(work.err);
      return;
    }
    const {access} = work.value;
    const {transaction} = this;
    if (access === 'commit' && transaction.kind === 'none') {
      const detail = 'no transaction is open';
      this.replies.refuse({kind: 'malformed', detail});
      return;
    }
    const result =
      transaction.kind === 'open'
        ? await transaction.transaction.run({
            ...work.value,
            id,
            values: this.settings.values,
            deadline: receivedAt + transaction.transaction.statementTimeoutMs,
          })
        : await this.runFirst(id, work.value, receivedAt);
    if (!result.ok) {
      const inTransaction = transaction.kind !== 'none' && access !== 'commit';
      this.transaction = {kind: inTransaction ? 'failed' : 'none'};
      this.replies.refuse(result.err);
      return;
    }
    const {answer, group} = result.value;
    const isCommit = access === 'commit';
    if (isCommit) this.transaction = {kind: 'none'};
    const hasCommitted =
      isCommit || (access === 'write' && transaction.kind === 'none');
    if (hasCommitted) this.history.committed(group, answer.applied);
    this.deps.metrics.answered(access, this.deps.clock() - receivedAt);
    this.replies.send({kind: 'member', answer}, answer.applied);
  }

  /** Runs a single statement, or the first one of a transaction. */
  private async runFirst(
    id: string,
    work: MemberWork,
    receivedAt: number,
  ): Promise<Result<GroupAnswer, SessionRefusal>> {
    const {transaction, database, key} = this;
    const result = await runFirstStatement(this.deps, {
      ...work,
      id,
      database,
      key,
      receivedAt,
      begin: transaction.kind === 'begun' ? transaction.access : undefined,
      values: new Map(this.settings.values),
      ...this.history.next(id, this.deps.clock()),
    });
    if (!result.ok) return result;
    const {transaction: opened} = result.value;
    if (opened) this.transaction = {kind: 'open', transaction: opened};
    return result;
  }

  /**
   * Fails the transaction if it may not go on, and ends the session if access
   * was withdrawn.
   */
  private async handleReconfiguration(): Promise<void> {
    if (this.phase === 'new') return;
    const {database, key, transaction} = this;
    const configuration = this.deps.configuration();
    const access = checkAccess(configuration, database, key, transaction);
    if (access.kind === 'other-workspace') {
      await this.failTransaction(access.kind);
    } else if (access.kind === 'withdrawn') {
      await this.failTransaction('access-withdrawn');
      this.closing.drain(access.refusal);
    }
  }

  private async failTransaction(reason: RollbackReason): Promise<void> {
    const {transaction} = this;
    if (transaction.kind === 'none' || transaction.kind === 'failed') return;
    this.transaction = {kind: 'failed'};
    this.reportState();
    if (transaction.kind !== 'open') return;
    recordRollback(this.deps, this.database, transaction.transaction, reason);
    await transaction.transaction.rollback(this.settings.values);
  }

  private reportState(): void {
    const state = reportedState(this.transaction);
    this.link.reportState(this.settings.heldBytes, state);
  }

  /** Limits the idle time, as a transaction holds a scarce connection. */
  private startTransactionTimeout(): void {
    if (this.transaction.kind !== 'open' || this.phase === 'closed') return;
    this.idleTimer.start(this.deps.configuration()?.transactionIdleMs ?? 0);
  }

  /**
   * Asks the caller to close once requests that arrived are answered, or ends the
   * connection behind the last answer.
   */
  private async closeIfIdle(): Promise<void> {
    if (this.backlog > 0 || this.phase === 'closed') return;
    if (this.closing.isDisconnecting) {
      await this.link.receivePending();
      if (this.backlog > 0 && this.closing.mayAnswerMore()) return;
      await this.ended();
      return;
    }
    if (!this.closing.isDue(this.transaction)) return;
    await this.failTransaction('session-ends');
    await this.link.receivePending();
    if (this.backlog > 0) return;
    if (this.phase === 'new') {
      this.reject('', VM_STOPS);
      return;
    }
    this.transaction = {kind: 'none'};
    this.closing.requestClose();
  }

  /** Ends the session and rolls back an open transaction. */
  private async ended(): Promise<void> {
    const {transaction} = this;
    this.link.close();
    this.end();
    if (transaction.kind !== 'open') return;
    await transaction.transaction.rollback(this.settings.values);
  }

  /** Marks the session as closed and notifies its owner. */
  private end(): void {
    if (this.phase === 'closed') return;
    this.phase = 'closed';
    this.closing.stop();
    this.idleTimer.stop();
    this.onEnded();
  }
}
