import {MAX_ADMISSION_WAIT_MS, Filter, fail, ok} from '@pistachiorill/core';
import type {Refusal, Result, RoutedStatement} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import type {AdmitOutcome} from './quota_message.js';
import type {QuotaTask} from './quota_task.js';

/**
 * Rate limit filter: admits a statement when its workspace has a token. A
 * statement above the rate waits for at most the maximum admission wait, or
 * until its own deadline if that is earlier, and is then refused.
 */
export class AdmitFilter extends Filter<
  RoutedStatement,
  RoutedStatement,
  Refusal
> {
  override readonly name = 'admit';

  constructor(private readonly quota: QuotaTask) {
    super();
  }

  override async run(
    statement: RoutedStatement,
    now: number,
  ): Promise<Result<RoutedStatement, Refusal>> {
    const {caller, deadline} = statement;
    // Anonymous callers arrive only through open routes and have no rate limit.
    if (caller.kind !== 'keyed') return ok(statement);
    const {workspace} = caller;
    const until = Math.min(now + MAX_ADMISSION_WAIT_MS, deadline);
    const outcome = await ask<AdmitOutcome>(reply =>
      this.quota.tell({kind: 'admit', workspace, until, reply}),
    );
    if (outcome === 'admitted') return ok(statement);
    return fail({
      kind: 'rate-limited',
      detail: `workspace ${workspace} exceeds its rate`,
    });
  }
}
