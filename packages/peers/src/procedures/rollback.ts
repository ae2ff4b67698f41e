import {t} from './procedure.js';
import {ROLLBACK_SCHEMA} from './transaction_schema.js';

/** Rolls back a forwarded transaction. */
export const rollback = t.procedure
  .input(ROLLBACK_SCHEMA)
  .mutation(({ctx, input}) => ctx.handlers.rollback(input));
