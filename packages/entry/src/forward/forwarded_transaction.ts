import {fail} from '@pistachiorill/core';
import type {
  Refusal,
  Result,
  RoutedStatement,
  StatementReply,
} from '@pistachiorill/core';
import {TransactionHandle} from '../group/group_executor.js';
import {ANSWER_GRACE_MS} from './forwarding_dependencies.js';
import type {ForwardingDependencies} from './forwarding_dependencies.js';
import type {OwnerTarget} from './owner_client.js';
import {decodeAnswer} from './wire_answer.js';
import {encodeStatement} from './wire_statement.js';

/** Time limit for the rollback call, which has no deadline of a caller. */
const ROLLBACK_TIMEOUT_MS = 2_000;

/** A transaction that an owner of the group executes for this VM. */
export class ForwardedTransaction extends TransactionHandle {
  private state: 'open' | 'ended' = 'open';

  constructor(
    private readonly id: string,
    private readonly owner: OwnerTarget,
    private readonly deps: ForwardingDependencies,
  ) {
    super();
    deps.keepAlive.tell({kind: 'opened', transaction: id, owner});
  }

  /**
   * Executes a statement in the transaction. If the owner does not answer, the
   * transaction is reported as lost. It is never committed after that, so the
   * owner certainly rolls it back.
   */
  override async execute(
    statement: RoutedStatement,
  ): Promise<Result<StatementReply, Refusal>> {
    const {ownerClient, clock} = this.deps;
    const wire = encodeStatement(statement, clock());
    const answer = await ownerClient.executeIn(
      this.owner,
      this.id,
      wire,
      wire.remainingMs + ANSWER_GRACE_MS,
    );
    if (!answer.ok) {
      await this.rollback();
      return fail({
        kind: 'transaction-lost',
        detail: `${this.owner.vm}: ${answer.err.detail}`,
      });
    }
    const result = decodeAnswer(answer.value);
    if (!result.ok && result.err.kind === 'transaction-lost') this.end();
    return result;
  }

  override async commit(
    deadline: number,
  ): Promise<Result<StatementReply, Refusal>> {
    const {ownerClient, clock} = this.deps;
    const remainingMs = Math.max(1, deadline - clock());
    const answer = await ownerClient.commit(
      this.owner,
      this.id,
      remainingMs,
      remainingMs + ANSWER_GRACE_MS,
    );
    this.end();
    if (answer.ok) return decodeAnswer(answer.value);
    const detail = `${this.owner.vm}: ${answer.err.detail}`;
    return fail(
      answer.err.kind === 'no-answer'
        ? {kind: 'outcome-unknown', detail}
        : {kind: 'transaction-lost', detail},
    );
  }

  override async rollback(): Promise<void> {
    if (this.state === 'ended') return;
    this.end();
    // If the call fails, the owner rolls back when the keep-alives time out.
    await this.deps.ownerClient.rollback(
      this.owner,
      this.id,
      ROLLBACK_TIMEOUT_MS,
    );
  }

  private end(): void {
    this.state = 'ended';
    this.deps.keepAlive.tell({kind: 'ended', transaction: this.id});
  }
}
