import {t} from './procedure.js';
import {KEEP_ALIVE_SCHEMA} from './transaction_schema.js';

/**
 * Keeps forwarded transactions open. The owner of the group ends the ones that
 * are no longer listed, because the VM that forwarded them may have stopped.
 */
export const keepAlive = t.procedure
  .input(KEEP_ALIVE_SCHEMA)
  .mutation(({ctx, input}) => ctx.handlers.keepAlive(input));
