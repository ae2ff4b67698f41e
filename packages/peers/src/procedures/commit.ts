import {t} from './procedure.js';
import {COMMIT_SCHEMA} from './transaction_schema.js';

/** Commits a forwarded transaction. */
export const commit = t.procedure
  .input(COMMIT_SCHEMA)
  .mutation(({ctx, input}) => ctx.handlers.commit(input));
