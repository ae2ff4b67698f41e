/** How one VM sees the primary of a database. */
export type PrimarySighting = 'reachable' | 'unreachable' | 'unknown';

/** How long a primary must be unreachable before others are asked. */
export const SUSPECT_AFTER_MS = 450;

export type SuspicionVerdict = 'replace' | 'keep';

/**
 * Decides from the VMs' views whether a primary is replaced. VMs that do not
 * answer count for neither side, but one VM alone decides only when it is the
 * only one left.
 */
export function judgeSuspicion(
  views: readonly PrimarySighting[],
  vmCount: number,
): SuspicionVerdict {
  const against = views.filter(view => view === 'unreachable').length;
  const inFavour = views.filter(view => view === 'reachable').length;
  const quorum = Math.min(2, vmCount);
  return against >= quorum && against > inFavour ? 'replace' : 'keep';
}
