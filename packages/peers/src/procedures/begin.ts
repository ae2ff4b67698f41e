import {t} from './procedure.js';
import {BEGIN_SCHEMA} from './transaction_schema.js';

/** Opens a transaction on a backend connection of the receiving VM. */
export const begin = t.procedure
  .input(BEGIN_SCHEMA)
  .mutation(({ctx, input}) => ctx.handlers.begin(input));
