import {fail, ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import type {SessionRefusal} from '../ports/caller_link.js';
import {OpenTransaction} from './open_transaction.js';
import type {GroupAnswer} from './open_transaction.js';
import type {SessionDependencies} from './session_message.js';
import type {ReceivedStatement} from './session_statement.js';

/** The answer, and the transaction if the statement opened one. */
export interface FirstAnswer extends GroupAnswer {
  readonly transaction: OpenTransaction | undefined;
}

/** Runs a single statement, or the first one of a transaction. */
export async function runFirstStatement(
  deps: SessionDependencies,
  statement: ReceivedStatement,
): Promise<Result<FirstAnswer, SessionRefusal>> {
  const admitted = await deps.admit.run(statement);
  if (!admitted.ok) return admitted;
  const placed = await deps.place.run(admitted.value);
  if (!placed.ok) {
    const {workspace, caller} = admitted.value;
    if (placed.err.kind === 'busy' && caller === 'keyed') {
      deps.refundToken(workspace);
    }
    return placed;
  }
  const {checkout, answer} = placed.value;
  const {group, statementTimeoutMs} = admitted.value.route;
  const database = deps.database(group);
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
    admitted.value.workspace,
    group,
    statementTimeoutMs,
    checkout,
    database,
    deps.clock,
  );
  return ok({answer, group, transaction});
}
