import * as z from 'zod';

/** Limits the number of membership changes in one probe. */
export const MAX_PIGGYBACKED_CHANGES = 32;

/** A VM as other VMs reach it. */
export const PEER_RECORD_SCHEMA = z.object({
  vm: z.string(),
  dataCentre: z.string(),
  address: z.string(),
  /** Identifies one run of the VM's process. */
  instance: z.string(),
});

const VERSIONS_SCHEMA = z.object({
  configuration: z.number().int().nonnegative(),
  ledger: z.number().int().nonnegative(),
});

/** The versions at the sender. */
export const VERSION_REPORT_SCHEMA = z.object({
  /** The highest versions that the sender has received notice of. */
  known: VERSIONS_SCHEMA,
  /** The versions in force at the sender; this acknowledges them. */
  applied: VERSIONS_SCHEMA,
  /** Age of the proof that `known` was current; null if there is none. */
  proofAgeMs: z.number().nonnegative().nullable(),
});

/** A membership change that spreads with the probes. */
export const MEMBERSHIP_CHANGE_SCHEMA = z.object({
  peer: PEER_RECORD_SCHEMA,
  state: z.enum(['alive', 'suspect', 'down', 'left']),
  /** Incremented by the VM itself to refute a suspicion. */
  incarnation: z.number().int().nonnegative(),
});

/**
 * The body of a probe and of its response. `suspicions` and `spareQuota` are
 * decoded by the failover and the quota code.
 */
export const GOSSIP_SCHEMA = z.object({
  from: PEER_RECORD_SCHEMA,
  incarnation: z.number().int().nonnegative(),
  changes: z.array(MEMBERSHIP_CHANGE_SCHEMA).max(MAX_PIGGYBACKED_CHANGES),
  versions: VERSION_REPORT_SCHEMA,
  suspicions: z.unknown().optional(),
  spareQuota: z.unknown().optional(),
});

export type Gossip = z.infer<typeof GOSSIP_SCHEMA>;
