/** How one VM sees the primary of a database. */
export type PrimarySighting = 'reachable' | 'unreachable' | 'unknown';

/** How long a primary must be unreachable before others are asked. */
export const SUSPECT_AFTER_MS = 450;

export type SuspicionVerdict = 'replace' | 'keep';

/**
 * Decides from the VMs' views whether a primary is replaced. At least half of
 * the VMs must agree, so that VMs that are cut off from all others change
 * nothing. VMs whose process is down are not counted, but one VM alone decides
 * only when no other is registered, as a partition may refuse connections too.
 */
export function judgeSuspicion(
  views: ReadonlyArray<PrimarySighting | 'vm-down'>,
): SuspicionVerdict {
  const vms = views.filter(view => view !== 'vm-down');
  const against = vms.filter(view => view === 'unreachable').length;
  const inFavour = vms.filter(view => view === 'reachable').length;
  const quorum = Math.max(Math.min(2, views.length), vms.length / 2);
  return against >= quorum && against > inFavour ? 'replace' : 'keep';
}
