import {Filter, ok} from '@pistachiorill/core';
import type {Refusal, Result, RoutedStatement} from '@pistachiorill/core';
import type {StatementCheckout} from './statement_stages.js';
import type {GroupTask} from './group_task.js';

/** Checks whether a statement may still run after it has waited. */
export type StatementRecheck = (
  statement: RoutedStatement,
) => Result<unknown, Refusal>;

/**
 * Refuses a statement whose key was revoked while it waited for a member or a
 * connection. The check is needed because the wait may take until the deadline.
 */
export class RecheckFilter extends Filter<
  StatementCheckout,
  StatementCheckout,
  Refusal
> {
  override readonly name = 'recheck';

  constructor(
    private readonly group: GroupTask,
    private readonly recheck: StatementRecheck,
  ) {
    super();
  }

  override run(
    checkout: StatementCheckout,
  ): Result<StatementCheckout, Refusal> {
    const current = this.recheck(checkout.statement);
    if (current.ok) return ok(checkout);
    const {backend} = checkout;
    this.group.tell({kind: 'release', backend, reuse: 'reuse'});
    return current;
  }
}
