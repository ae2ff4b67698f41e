import {Filter, fail, ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import type {Clock} from '@pistachiorill/tasks';
import type {DatabaseTask} from '../database/database_task.js';
import type {SessionRefusal} from '../ports/caller_link.js';
import type {FirstAnswer} from './member_transaction.js';
import {OpenTransaction} from './open_transaction.js';
import type {PlacedAnswer} from './place_filter.js';
import type {RoutedStatement} from './session_statement.js';

/** The services of the VM that the filter uses. */
export interface RunDependencies {
  readonly place: Filter<RoutedStatement, PlacedAnswer, SessionRefusal>;
  readonly database: (group: string) => DatabaseTask | undefined;
  readonly clock: Clock;
}

/**
 * Runs a single statement, or the first one of a transaction, on this VM's
 * connections. A new transaction keeps its connection.
 */
export class RunFilter extends Filter<
  RoutedStatement,
  FirstAnswer,
  SessionRefusal
> {
  override readonly name = 'run';

  constructor(private readonly deps: RunDependencies) {
    super();
  }

  override async run(
    statement: RoutedStatement,
    now: number,
  ): Promise<Result<FirstAnswer, SessionRefusal>> {
    const placed = await this.deps.place.run(statement, now);
    if (!placed.ok) return placed;
    const {checkout, answer} = placed.value;
    const {group, statementTimeoutMs} = statement.route;
    const database = this.deps.database(group);
    if (statement.begin === undefined) {
      return ok({answer, group, transaction: undefined});
    }
    if (!database) {
      checkout.connection.tell({kind: 'close'});
      return fail({kind: 'aborted', detail: 'the group is no longer served'});
    }
    if (statement.access === 'commit') {
      database.tell({kind: 'return', checkout});
      return ok({answer, group, transaction: undefined});
    }
    const transaction = new OpenTransaction(
      statement.id,
      statement.workspace,
      group,
      statementTimeoutMs,
      checkout,
      database,
      this.deps.clock,
    );
    return ok({answer, group, transaction});
  }
}
