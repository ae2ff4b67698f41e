import {PROBE_INDIRECT_SCHEMA} from './probe_indirect_schema.js';
import {t} from './procedure.js';

/** Probes a third VM for the sender, which cannot reach it. */
export const probeIndirect = t.procedure
  .input(PROBE_INDIRECT_SCHEMA)
  .mutation(({ctx, input}) => ctx.handlers.probeIndirect(input));
