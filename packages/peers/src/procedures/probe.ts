import {GOSSIP_SCHEMA} from './probe_schema.js';
import {t} from './procedure.js';

/** Shows that the sender is alive and exchanges membership and version data. */
export const probe = t.procedure
  .input(GOSSIP_SCHEMA)
  .mutation(({ctx, input}) => ctx.handlers.probe(input));
