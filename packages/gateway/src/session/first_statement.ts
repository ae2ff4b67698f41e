import type {Result} from '@pistachiorill/core';
import type {SessionRefusal} from '../ports/caller_link.js';
import type {FirstAnswer} from './member_transaction.js';
import type {SessionDependencies} from './session_message.js';
import type {ReceivedStatement} from './session_statement.js';

/** Runs a single statement, or the first one of a transaction. */
export async function runFirstStatement(
  deps: SessionDependencies,
  statement: ReceivedStatement,
): Promise<Result<FirstAnswer, SessionRefusal>> {
  const admitted = await deps.admit.run(statement);
  if (!admitted.ok) return admitted;
  const result = await deps.run.run(admitted.value);
  const {workspace, caller} = admitted.value;
  if (!result.ok && result.err.kind === 'busy' && caller === 'keyed') {
    deps.refundToken(workspace);
  }
  return result;
}
