import {t} from './procedure.js';
import {EXECUTE_IN_SCHEMA} from './transaction_schema.js';

/** Executes a statement in a transaction that is open at the receiving VM. */
export const executeIn = t.procedure
  .input(EXECUTE_IN_SCHEMA)
  .mutation(({ctx, input}) => ctx.handlers.executeIn(input));
