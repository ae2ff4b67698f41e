import {RouteAcknowledgementPolicy, fail, ok} from '@pistachiorill/core';
import type {
  AcknowledgementPolicy,
  Refusal,
  Result,
  RoutedStatement,
  StatementReply,
} from '@pistachiorill/core';
import {Pipeline} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import {AcquireFilter} from './acquire_filter.js';
import type {StatementCheckout} from './statement_stages.js';
import {callBackend} from './backend_call.js';
import {toRefusal} from './backend_refusal.js';
import {ChooseMemberFilter} from './choose_member_filter.js';
import {ConfirmFilter} from './confirm_filter.js';
import {GroupExecutor} from './group_executor.js';
import type {TransactionHandle} from './group_executor.js';
import type {GroupTask} from './group_task.js';
import {LocalTransaction} from './local_transaction.js';
import {RetryFilter} from './retry_filter.js';
import {RecheckFilter} from './recheck_filter.js';
import type {StatementRecheck} from './recheck_filter.js';
import {RunFilter} from './run_filter.js';

/** Executes statements over the connections that this VM owns. */
export class LocalExecutor extends GroupExecutor {
  private readonly acquire: Pipeline<
    RoutedStatement,
    StatementCheckout,
    Refusal
  >;
  private readonly confirm: ConfirmFilter;
  private readonly autocommit: Pipeline<
    RoutedStatement,
    StatementReply,
    Refusal
  >;

  constructor(
    private readonly group: GroupTask,
    private readonly clock: Clock,
    recheck: StatementRecheck,
    acknowledgement: AcknowledgementPolicy = new RouteAcknowledgementPolicy(),
  ) {
    super();
    const chooseMember = Pipeline.of(new ChooseMemberFilter(group), clock);
    const recheckFilter = new RecheckFilter(group, recheck);
    this.acquire = chooseMember
      .then(new AcquireFilter(group, 'transaction'))
      .then(recheckFilter);
    this.confirm = new ConfirmFilter(group, clock, acknowledgement);
    const attempt = chooseMember
      .then(new AcquireFilter(group, 'statement'))
      .then(recheckFilter)
      .then(new RunFilter(group, clock))
      .then(this.confirm);
    this.autocommit = Pipeline.of(
      new RetryFilter(group, attempt, clock),
      clock,
    );
  }

  override execute(
    statement: RoutedStatement,
  ): Promise<Result<StatementReply, Refusal>> {
    return this.autocommit.run(statement);
  }

  override async begin(
    statement: RoutedStatement,
  ): Promise<Result<TransactionHandle, Refusal>> {
    const checkout = await this.acquire.run({...statement, changesData: true});
    if (!checkout.ok) return checkout;
    const {backend} = checkout.value;
    const begun = await callBackend(
      backend,
      'BEGIN',
      statement.deadline,
      this.clock,
    );
    if (!begun.ok) {
      this.group.tell({kind: 'release', backend, reuse: 'close'});
      const refusal = toRefusal(begun.err);
      return fail({kind: 'no-member', detail: refusal.detail});
    }
    return ok(
      new LocalTransaction(
        checkout.value,
        this.group,
        this.confirm,
        this.clock,
      ),
    );
  }
}
