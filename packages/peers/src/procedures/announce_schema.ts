import {ENVIRONMENTS} from '@pistachiorill/core';
import * as z from 'zod';

/** A configuration version in force, with the body of its document. */
export const ANNOUNCEMENT_SCHEMA = z.object({
  /** VMs of other environments ignore the announcement. */
  environment: z.enum(ENVIRONMENTS),
  version: z.number().int().positive(),
  hash: z.string(),
  body: z.string(),
});

export type Announcement = z.infer<typeof ANNOUNCEMENT_SCHEMA>;
