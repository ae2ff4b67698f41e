import {Filter, fail, ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import type {SessionRefusal} from '../ports/caller_link.js';
import type {Admission} from '../quota/account.js';
import type {QuotaTask} from '../quota/quota_task.js';
import type {RoutedStatement} from './session_statement.js';

/** The share of the latency target that a statement may wait for a token. */
const TOKEN_WAIT_SHARE = 0.25;
/**
 * The share of the latency target that a statement may wait for a token on a VM
 * that has just started and holds none yet.
 */
const STARTUP_TOKEN_WAIT_SHARE = 0.8;

/**
 * Takes one token of the workspace's rate limit for each operation. Anonymous
 * callers need none.
 */
export class AdmitFilter extends Filter<
  RoutedStatement,
  RoutedStatement,
  SessionRefusal
> {
  override readonly name = 'admit';

  constructor(private readonly quota: QuotaTask) {
    super();
  }

  override async run(
    statement: RoutedStatement,
    now: number,
  ): Promise<Result<RoutedStatement, SessionRefusal>> {
    if (statement.caller === 'anonymous') return ok(statement);
    const {workspace, route} = statement;
    const until = now + route.targetMs * TOKEN_WAIT_SHARE;
    const untilAtStart = now + route.targetMs * STARTUP_TOKEN_WAIT_SHARE;
    const admission = await ask<Admission>(reply =>
      this.quota.tell({kind: 'admit', workspace, until, untilAtStart, reply}),
    );
    if (admission.kind === 'admitted') return ok(statement);
    return fail({
      kind: 'rate-limited',
      detail: `the rate of workspace ${workspace} is spent`,
      retryAfterMs: admission.retryAfterMs,
    });
  }
}
