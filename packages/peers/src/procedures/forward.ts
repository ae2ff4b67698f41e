import {FORWARD_SCHEMA} from './forward_schema.js';
import {t} from './procedure.js';

/** Executes a statement on a backend connection of the receiving VM. */
export const forward = t.procedure
  .input(FORWARD_SCHEMA)
  .mutation(({ctx, input}) => ctx.handlers.forward(input));
