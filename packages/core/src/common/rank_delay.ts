/** Delay between VMs that follow each other in the order of a task. */
const RANK_DELAY_MS = 120;
/** The delay grows linearly up to this rank, and with its logarithm above. */
const LINEAR_RANKS = 8;

/**
 * Returns how long a VM waits before it performs a task that one VM of the fleet
 * has to perform. The VM that ranks first waits 0 ms. In a large fleet few VMs
 * know of the task, and these may rank far behind; with a linear delay they
 * would wait for VMs that do not know of it.
 */
export function rankDelayMs(rank: number): number {
  if (rank < LINEAR_RANKS) return Math.max(0, rank) * RANK_DELAY_MS;
  return RANK_DELAY_MS * (LINEAR_RANKS + Math.log2(rank / LINEAR_RANKS));
}
