/** One VM's observation of the primary of a database group. */
export type PrimaryObservation = 'reachable' | 'unreachable' | 'unknown';

/** How long a primary must be unreachable before a VM asks the others. */
export const SUSPECT_AFTER_MS = 450;

/** Whether a suspected primary is replaced. */
export type SuspicionOutcome = 'replace' | 'keep';

/**
 * Evaluates the observations of all VMs and decides whether a primary is
 * replaced. At least half of the VMs must find it unreachable, so that VMs that
 * are cut off from all others cannot replace it. VMs whose process is down are
 * not counted. Nevertheless, one VM alone decides only if no other VM is
 * registered, because a refused connection may also come from a partition.
 */
export function evaluateSuspicion(
  observations: ReadonlyArray<PrimaryObservation | 'vm-down'>,
): SuspicionOutcome {
  const runningVmObservations = observations.filter(item => item !== 'vm-down');
  const unreachableCount = runningVmObservations.filter(
    item => item === 'unreachable',
  ).length;
  const reachableCount = runningVmObservations.filter(
    item => item === 'reachable',
  ).length;
  const quorum = Math.max(
    Math.min(2, observations.length),
    runningVmObservations.length / 2,
  );
  return unreachableCount >= quorum && unreachableCount > reachableCount
    ? 'replace'
    : 'keep';
}
