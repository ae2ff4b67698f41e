import * as z from 'zod';
import {PEER_RECORD_SCHEMA} from './probe_schema.js';

/** Requests a probe of `target`. */
export const PROBE_INDIRECT_SCHEMA = z.object({target: PEER_RECORD_SCHEMA});

export type ProbeIndirectRequest = z.infer<typeof PROBE_INDIRECT_SCHEMA>;

/** Whether the target responded to the receiving VM's probe. */
export type ProbeIndirectResponse = 'reached' | 'not-reached';
