import {Filter, ok} from '@pistachiorill/core';
import type {Refusal, Result} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import type {BackendTask} from '../backend/backend_task.js';
import type {ChosenStatement, StatementCheckout} from './statement_stages.js';
import type {CheckoutUse} from './group_message.js';
import type {GroupTask} from './group_task.js';

/** Checks out a connection to the chosen member; waits until one is free. */
export class AcquireFilter extends Filter<
  ChosenStatement,
  StatementCheckout,
  Refusal
> {
  override readonly name = 'acquire';

  constructor(
    private readonly group: GroupTask,
    private readonly use: CheckoutUse,
  ) {
    super();
  }

  override async run(
    chosen: ChosenStatement,
  ): Promise<Result<StatementCheckout, Refusal>> {
    const {statement, member} = chosen;
    const {caller, deadline} = statement;
    const backend = await ask<Result<BackendTask, Refusal>>(reply =>
      this.group.tell({
        kind: 'acquire',
        backendServer: member.backendServer,
        workspace: caller.kind === 'keyed' ? caller.workspace : '',
        use: this.use,
        until: deadline,
        reply,
      }),
    );
    return backend.ok ? ok({...chosen, backend: backend.value}) : backend;
  }
}
