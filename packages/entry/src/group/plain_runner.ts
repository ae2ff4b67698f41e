import {fail, ok} from '@pistachiorill/core';
import type {Refusal, Result} from '@pistachiorill/core';
import type {StatementCheckout} from './statement_stages.js';
import {toRefusal} from './backend_refusal.js';
import {StatementRunner} from './statement_runner.js';
import type {RunOutcome} from './statement_runner.js';

/** Executes a read, or a write that has no request id. */
export class PlainRunner extends StatementRunner {
  override async run(
    checkout: StatementCheckout,
  ): Promise<Result<RunOutcome, Refusal>> {
    const {statement} = checkout;
    const answer = await this.call(checkout, statement.sql);
    if (answer.ok) {
      return statement.changesData
        ? this.withLogEnd(checkout, answer.value)
        : ok({result: answer.value, entry: undefined});
    }
    // A read changes nothing, so a lost answer counts as not run.
    if (answer.err.kind === 'lost' && !statement.changesData) {
      return fail({kind: 'no-member', detail: answer.err.detail});
    }
    return fail(toRefusal(answer.err));
  }
}
