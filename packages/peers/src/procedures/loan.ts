import {LOAN_SCHEMA} from './loan_schema.js';
import {t} from './procedure.js';

/** Lends part of the receiving VM's share of a workspace for a short time. */
export const loan = t.procedure
  .input(LOAN_SCHEMA)
  .mutation(({ctx, input}) => ctx.handlers.loan(input));
