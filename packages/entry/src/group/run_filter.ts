import {Filter, ok} from '@pistachiorill/core';
import type {Refusal, Result} from '@pistachiorill/core';
import type {Clock} from '@pistachiorill/tasks';
import type {ExecutedStatement, StatementCheckout} from './statement_stages.js';
import type {Reuse} from './group_message.js';
import type {GroupTask} from './group_task.js';
import {PlainRunner} from './plain_runner.js';
import {RecordedRunner} from './recorded_runner.js';
import {requestKeyOf} from './request_record.js';
import type {StatementRunner} from './statement_runner.js';

/** Executes the statement and returns its connection to the pool. */
export class RunFilter extends Filter<
  StatementCheckout,
  ExecutedStatement,
  Refusal
> {
  override readonly name = 'execute';
  private readonly plain: StatementRunner;
  private readonly recorded: StatementRunner;

  constructor(
    private readonly group: GroupTask,
    clock: Clock,
  ) {
    super();
    this.plain = new PlainRunner(clock);
    this.recorded = new RecordedRunner(clock);
  }

  override async run(
    checkout: StatementCheckout,
  ): Promise<Result<ExecutedStatement, Refusal>> {
    const runner = requestKeyOf(checkout.statement)
      ? this.recorded
      : this.plain;
    const outcome = await runner.run(checkout);
    this.group.tell({
      kind: 'release',
      backend: checkout.backend,
      reuse: reuseAfterOutcome(outcome),
    });
    if (!outcome.ok) return outcome;
    const {statement, member} = checkout;
    return ok({statement, member, ...outcome.value});
  }
}

/**
 * Decides whether a connection may be reused. It is kept only if every answer
 * on it was read.
 */
export function reuseAfterOutcome(outcome: Result<unknown, Refusal>): Reuse {
  if (outcome.ok) return 'reuse';
  switch (outcome.err.kind) {
    case 'backend-error':
    case 'request-id-conflict':
      return 'reuse';
    default:
      return 'close';
  }
}
