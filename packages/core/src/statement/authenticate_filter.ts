import {Filter} from '../common/filter.js';
import {fail, ok} from '../common/result.js';
import type {Result} from '../common/result.js';
import type {Refusal} from './refusal.js';
import type {ReceivedStatement} from './statement.js';

/**
 * Checks for each statement that the key presented in the handshake is still
 * granted, so a withdrawn key stops working on open connections too.
 */
export class AuthenticateFilter extends Filter<
  ReceivedStatement,
  ReceivedStatement,
  Refusal
> {
  override readonly name = 'authenticate';

  override run(
    statement: ReceivedStatement,
  ): Result<ReceivedStatement, Refusal> {
    const {caller, context} = statement;
    if (caller.kind === 'anonymous') return ok(statement);
    const {configuration} = context.activeConfiguration;
    const workspace = configuration.workspaces.find(
      item => item.name === caller.workspace,
    );
    if (!workspace?.keys.some(key => key.id === caller.keyId)) {
      return fail({kind: 'bad-key', detail: 'the key is not granted any more'});
    }
    if (
      context.confirmation === 'unconfirmed' &&
      configuration.whenUnconfirmed === 'refuse'
    ) {
      return fail({
        kind: 'unconfirmed',
        detail: 'this VM cannot confirm which keys are granted',
      });
    }
    return ok(statement);
  }
}
