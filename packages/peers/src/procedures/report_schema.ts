import {FAILOVER_REPORT_KINDS} from '@pistachiorill/core';
import type {FailoverReport} from '@pistachiorill/core';
import * as z from 'zod';

/** How the sender sees the primary of a group; see `FailoverReport`. */
export const REPORT_SCHEMA: z.ZodType<FailoverReport> = z.object({
  kind: z.enum(FAILOVER_REPORT_KINDS),
  database: z.string(),
  vm: z.string(),
  dataCentre: z.string(),
  term: z.number().int(),
  forMs: z.number(),
  running: z.number().int(),
});
