import {fail, ok} from '@pistachiorill/core';
import type {
  PreparedStatement,
  Result,
  SessionValues,
} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {CheckoutValidity} from '../database/database_message.js';
import type {DatabaseTask} from '../database/database_task.js';
import type {Checkout} from '../database/checkout.js';
import type {JobFault, JobResult} from '../database/member_connection.js';
import type {SessionRefusal} from '../ports/caller_link.js';
import type {MemberCommand} from '../ports/member_link.js';
import {concludeFault} from './conclude_fault.js';
import {MemberTransaction} from './member_transaction.js';
import type {GroupAnswer, PinnedStatement} from './member_transaction.js';

/** The time limit of a rollback. */
const ROLLBACK_TIMEOUT_MS = 400;

/** A transaction, which keeps its connection checked out until it ends. */
export class OpenTransaction extends MemberTransaction {
  private state: 'open' | 'ended' = 'open';

  constructor(
    override readonly request: string,
    override readonly workspace: string,
    /** The group at which it runs, also after its route has moved. */
    private readonly group: string,
    override readonly statementTimeoutMs: number,
    private readonly checkout: Checkout,
    private readonly database: DatabaseTask,
    private readonly clock: Clock,
  ) {
    super();
  }

  override async run(
    statement: PinnedStatement,
  ): Promise<Result<GroupAnswer, SessionRefusal>> {
    const {id, command, prepared, values, deadline, access} = statement;
    const result = await this.send({id, command, prepared, values, deadline});
    const validity = await ask<CheckoutValidity>(reply =>
      this.database.tell({kind: 'confirm', checkout: this.checkout, reply}),
    );
    if (result.ok && validity === 'valid') {
      if (access === 'commit') this.end();
      return ok({answer: result.value.answer, group: this.group});
    }
    const fault: JobFault = result.ok
      ? {failure: 'no-answer', detail: 'the member may have been replaced'}
      : result.err;
    this.abandon();
    const effect = access === 'write' ? 'write-in-transaction' : access;
    return fail(concludeFault(effect, 'pinned', fault).refusal);
  }

  override async rollback(values: SessionValues): Promise<void> {
    if (this.state === 'ended') return;
    this.state = 'ended';
    const result = await this.send({
      command: {kind: 'rollback'},
      values,
      deadline: this.clock() + ROLLBACK_TIMEOUT_MS,
    });
    if (!result.ok) this.checkout.connection.tell({kind: 'close'});
    this.database.tell({kind: 'return', checkout: this.checkout});
  }

  /** Closes the connection, upon which the member rolls back. */
  override abandon(): void {
    this.checkout.connection.tell({kind: 'close'});
    this.end();
  }

  private end(): void {
    if (this.state === 'ended') return;
    this.state = 'ended';
    this.database.tell({kind: 'return', checkout: this.checkout});
  }

  private send(job: {
    id?: string;
    command: MemberCommand;
    prepared?: PreparedStatement | undefined;
    values: SessionValues;
    deadline: number;
  }): Promise<JobResult> {
    const {id, command, prepared, values, deadline} = job;
    return ask(reply =>
      this.checkout.connection.tell({
        kind: 'run',
        job: {values, prepared, request: {id, command}, deadline},
        reply,
      }),
    );
  }
}
