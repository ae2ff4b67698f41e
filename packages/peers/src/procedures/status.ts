import {t} from './procedure.js';

/** Returns the state of the receiving VM to the operators' program. */
export const status = t.procedure.mutation(({ctx}) => ctx.handlers.status());
