import {setTimeout as delay} from 'node:timers/promises';
import {Filter, attemptDeadline, fail} from '@pistachiorill/core';
import type {
  Refusal,
  Repeatability,
  Result,
  RetryDecision,
  RoutedStatement,
  StatementReply,
} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import type {Pipeline} from '@pistachiorill/tasks';
import type {GroupTask} from './group_task.js';

type Attempt = Pipeline<RoutedStatement, StatementReply, Refusal>;

/** Repeats a statement until it succeeds or no further attempt is allowed. */
export class RetryFilter extends Filter<
  RoutedStatement,
  StatementReply,
  Refusal
> {
  override readonly name = 'retry';

  constructor(
    private readonly group: GroupTask,
    private readonly attempt: Attempt,
    private readonly clock: () => number,
  ) {
    super();
  }

  override async run(
    statement: RoutedStatement,
  ): Promise<Result<StatementReply, Refusal>> {
    const repeatability = repeatabilityOf(statement);
    this.group.tell({kind: 'request-started'});
    // Once a write may have run, no later refusal may report that it did not.
    let unknown: Refusal | undefined;
    for (let attempts = 1; ; attempts += 1) {
      const result = await this.attempt.run({
        ...statement,
        deadline: attemptDeadline(
          repeatability,
          statement.deadline,
          this.clock(),
        ),
      });
      if (result.ok) return result;
      if (statement.changesData && result.err.kind === 'outcome-unknown') {
        unknown = result.err;
      }
      const decision = await ask<RetryDecision>(reply =>
        this.group.tell({
          kind: 'attempt-failed',
          attempt: {
            refusal: result.err,
            repeatability,
            attemptCount: attempts,
            deadline: statement.deadline,
          },
          reply,
        }),
      );
      if (decision.kind === 'give-up') return unknown ? fail(unknown) : result;
      await delay(decision.delayMs);
    }
  }
}

/** Classifies how a statement may be executed again after an attempt. */
function repeatabilityOf(statement: RoutedStatement): Repeatability {
  if (!statement.changesData || statement.route.repeatable) return 'repeatable';
  return statement.options.requestId === undefined ? 'once' : 'recorded';
}
