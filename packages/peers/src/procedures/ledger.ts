import {LEDGER_SCHEMA} from './ledger_schema.js';
import {t} from './procedure.js';

/** Returns the ledger row to a VM that cannot read the table service. */
export const ledger = t.procedure
  .input(LEDGER_SCHEMA)
  .mutation(({ctx, input}) => ctx.handlers.ledger(input));
