import {attemptFailureOf, fail, ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import {sleep} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {SessionRefusal} from '../ports/caller_link.js';
import {concludeFault} from '../session/conclude_fault.js';
import {MemberTransaction} from '../session/member_transaction.js';
import type {
  GroupAnswer,
  PinnedStatement,
} from '../session/member_transaction.js';
import {
  callTimeoutMs,
  isForwardable,
  toExecuteInRequest,
} from './forward_request.js';
import type {OwnerCalls} from './owner_calls.js';
import type {OwnerClient} from './owner_client.js';

/** The time limit of a rollback. */
const ROLLBACK_TIMEOUT_MS = 400;

/** When a rollback without an answer is sent again, after the one before. */
const ROLLBACK_REPEAT_MS: readonly number[] = [500, 1_000, 2_000];

/** Where a transaction is held, and what its first statement fixed. */
export interface ForwardedTransactionOrigin {
  readonly owner: string;
  readonly transaction: string;
  /** The id of its first statement. */
  readonly request: string;
  readonly workspace: string;
  readonly group: string;
  readonly statementTimeoutMs: number;
}

/** The services that the transaction uses. */
export interface ForwardedTransactionDependencies {
  readonly calls: OwnerCalls;
  readonly client: OwnerClient;
  readonly clock: Clock;
}

/** A transaction whose connection an owner keeps until it ends. */
export class ForwardedTransaction extends MemberTransaction {
  override readonly request: string;
  override readonly workspace: string;
  override readonly statementTimeoutMs: number;
  private state: 'open' | 'ended' = 'open';
  /** The number of statements that were sent to the owner. */
  private step = 1;

  constructor(
    private readonly origin: ForwardedTransactionOrigin,
    private readonly deps: ForwardedTransactionDependencies,
  ) {
    super();
    this.request = origin.request;
    this.workspace = origin.workspace;
    this.statementTimeoutMs = origin.statementTimeoutMs;
  }

  override async run(
    statement: PinnedStatement,
  ): Promise<Result<GroupAnswer, SessionRefusal>> {
    if (!isForwardable(statement)) {
      this.abandon();
      const detail = 'the values of the session are too long';
      return fail({kind: 'aborted', detail});
    }
    const {owner, transaction, group} = this.origin;
    const {access} = statement;
    const now = this.deps.clock();
    const req = toExecuteInRequest(statement, transaction, ++this.step, now);
    const timeoutMs = callTimeoutMs(statement.deadline, now);
    const result = await this.deps.calls.run(owner, client =>
      client.executeIn(owner, req, timeoutMs),
    );
    if (result.kind === 'done') {
      if (access === 'commit') this.state = 'ended';
      return ok({answer: result.answer, group});
    }
    if (result.kind === 'refused') {
      // The owner ended the transaction.
      this.state = 'ended';
      return fail(result.refusal);
    }
    const {failure, detail} = result;
    // Without an answer the owner may still hold it; it lets a commit that is
    // running finish.
    if (failure === 'no-transaction') this.state = 'ended';
    this.abandon();
    const effect = access === 'write' ? 'write-in-transaction' : access;
    const fault = {failure: attemptFailureOf(failure), detail};
    return fail(concludeFault(effect, 'pinned', fault).refusal);
  }

  override async rollback(): Promise<void> {
    if (this.state === 'ended') return;
    this.state = 'ended';
    if (!(await this.sendRollback())) void this.repeatRollback();
  }

  /** Without an answer to any the owner rolls back for itself. */
  private async repeatRollback(): Promise<void> {
    for (const ms of ROLLBACK_REPEAT_MS) {
      await sleep(ms);
      if (await this.sendRollback()) return;
    }
  }

  /** Returns whether the owner answered. */
  private async sendRollback(): Promise<boolean> {
    const {owner, transaction} = this.origin;
    const {client} = this.deps;
    const req = {transaction};
    return (await client.endTransaction(owner, req, ROLLBACK_TIMEOUT_MS)).ok;
  }

  override abandon(): void {
    void this.rollback();
  }
}
