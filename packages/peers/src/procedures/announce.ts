import {ANNOUNCEMENT_SCHEMA} from './announce_schema.js';
import {t} from './procedure.js';

/**
 * Sends the configuration version in force to a VM that may be unable to reach
 * the store.
 */
export const announce = t.procedure
  .input(ANNOUNCEMENT_SCHEMA)
  .mutation(({ctx, input}) => ctx.handlers.announce(input));
