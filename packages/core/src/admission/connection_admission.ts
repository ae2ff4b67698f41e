/** What a decision about a new connection depends on. */
export interface ConnectionCounts {
  /** Open connections of the entry point, without the new one. */
  readonly open: number;
  /** Those of them that have not logged in. */
  readonly withoutLogin: number;
  /** Those of them from the address of the new one. */
  readonly fromAddress: number;
}

/** How many connections are allowed. */
export interface ConnectionLimits {
  readonly maxConnections: number;
  /** 0 sets no limit. */
  readonly maxPerAddress: number;
}

/** What to do with a new connection. */
export type ConnectionAdmission =
  | 'accept'
  /** Accept it, and close the oldest one that has not logged in. */
  | 'replace'
  | 'refuse-total'
  | 'refuse-address';

/**
 * Decides on a new connection. At the limit it takes the place of one without a
 * login, so that clients that never log in do not lock out those that do.
 */
export function decideConnectionAdmission(
  {open, withoutLogin, fromAddress}: ConnectionCounts,
  {maxConnections, maxPerAddress}: ConnectionLimits,
): ConnectionAdmission {
  if (maxPerAddress > 0 && fromAddress >= maxPerAddress) {
    return 'refuse-address';
  }
  if (open < maxConnections) return 'accept';
  return withoutLogin > 0 ? 'replace' : 'refuse-total';
}
