import {Filter} from '../common/filter.js';
import {fail, ok} from '../common/result.js';
import type {Result} from '../common/result.js';
import type {Refusal} from './refusal.js';
import type {ReceivedStatement} from './statement.js';

/** Refuses statements that are too large, and new work while the VM drains. */
export class AcceptFilter extends Filter<
  ReceivedStatement,
  ReceivedStatement,
  Refusal
> {
  override readonly name = 'accept';

  constructor(private readonly maxStatementBytes: number) {
    super();
  }

  override run(
    statement: ReceivedStatement,
  ): Result<ReceivedStatement, Refusal> {
    const bytes = Buffer.byteLength(statement.sql);
    if (bytes > this.maxStatementBytes) {
      return fail({
        kind: 'too-large',
        detail:
          `the statement has ${bytes} bytes, ` +
          `the limit is ${this.maxStatementBytes}`,
      });
    }
    // Statements of an open transaction may finish: draining stops only new
    // work.
    const startsWork = statement.scope === 'autocommit';
    if (startsWork && statement.context.lifecycle === 'draining') {
      return fail({kind: 'draining', detail: 'this VM takes no new work'});
    }
    return ok(statement);
  }
}
