import * as z from 'zod';

const MEMBER_SCHEMA = z.object({
  backendServer: z.string(),
  dataCentre: z.string(),
  role: z.enum(['primary', 'replica', 'unknown']),
  term: z.number(),
  reachability: z.enum(['reachable', 'unreachable', 'unknown']),
  accepting: z.enum(['yes', 'no']),
  /** Number of the primary's log entries that this member has not applied. */
  lagEntries: z.number().optional(),
});

const GROUP_SCHEMA = z.object({
  database: z.string(),
  term: z.number(),
  /** Absent while no member is primary in the highest term. */
  primary: z.string().optional(),
  members: z.array(MEMBER_SCHEMA),
});

/** The JSON document that a VM serves to operators at `/status`. */
export const VM_STATUS_SCHEMA = z.object({
  vm: z.string(),
  dataCentre: z.string(),
  environment: z.enum(['trial', 'production']),
  /** The applied configuration version; 0 if none is applied. */
  version: z.number(),
  hash: z.string(),
  lifecycle: z.enum(['serving', 'draining']),
  drainReasons: z.array(
    z.enum(['stopping', 'listed-leaving', 'data-centre-out']),
  ),
  confirmation: z.enum(['confirmed', 'unconfirmed']),
  connections: z.number(),
  groups: z.array(GROUP_SCHEMA),
});

/** The status of one VM. */
export type VmStatus = z.infer<typeof VM_STATUS_SCHEMA>;
/** The status of a replication group, as one VM observes it. */
export type GroupStatus = z.infer<typeof GROUP_SCHEMA>;
/** The status of one member of a group, as one VM observes it. */
export type MemberStatus = z.infer<typeof MEMBER_SCHEMA>;
