import {Filter, fail} from '@pistachiorill/core';
import type {
  Refusal,
  Result,
  RoutedStatement,
  StatementReply,
} from '@pistachiorill/core';
import type {GroupExecutor} from '../group/group_executor.js';

/** Returns the executor of a database if this VM serves it. */
export type ExecutorLookup = (database: string) => GroupExecutor | undefined;

/** Passes an autocommit statement to the executor of its database. */
export class ExecuteFilter extends Filter<
  RoutedStatement,
  StatementReply,
  Refusal
> {
  override readonly name = 'execute';

  constructor(private readonly executors: ExecutorLookup) {
    super();
  }

  override async run(
    statement: RoutedStatement,
  ): Promise<Result<StatementReply, Refusal>> {
    const executor = this.executors(statement.database);
    if (!executor) {
      return fail({
        kind: 'no-member',
        detail: `database ${statement.database} is not served`,
      });
    }
    return executor.execute(statement);
  }
}
