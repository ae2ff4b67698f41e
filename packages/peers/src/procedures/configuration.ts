import {CONFIGURATION_SCHEMA} from './configuration_schema.js';
import {t} from './procedure.js';

/** Returns a document body to a VM that cannot read the object store. */
export const configuration = t.procedure
  .input(CONFIGURATION_SCHEMA)
  .mutation(({ctx, input}) => ctx.handlers.configuration(input));
