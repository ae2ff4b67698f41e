import {t} from './procedure.js';
import {REPORT_SCHEMA} from './report_schema.js';

/** Sends the sender's view of a group's primary to a VM that polls the group. */
export const report = t.procedure
  .input(REPORT_SCHEMA)
  .mutation(({ctx, input}) => ctx.handlers.report(input));
