/** Statements that members began to run, by workspace. */
export type WorkspaceCounts = Readonly<Record<string, number>>;

/** The counts of one process in one window. */
export interface ProcessCounts {
  readonly vm: string;
  readonly incarnation: string;
  readonly counts: WorkspaceCounts;
}

/** Counts of one process by window. They only grow, but for refusals. */
export class WindowCounts {
  private readonly windows = new Map<number, Map<string, number>>();

  /** Adds to the count of a workspace in a window. */
  add(window: number, workspace: string, delta: 1 | -1): void {
    const counts = this.windows.get(window) ?? new Map<string, number>();
    this.windows.set(window, counts);
    counts.set(workspace, Math.max(0, (counts.get(workspace) ?? 0) + delta));
  }

  /** Removes windows before `oldest`. */
  removeBefore(oldest: number): void {
    for (const window of this.windows.keys()) {
      if (window < oldest) this.windows.delete(window);
    }
  }

  /** The counts of all windows. */
  get all(): ReadonlyMap<number, WorkspaceCounts> {
    const windows = [...this.windows.keys()];
    return new Map(windows.map(window => [window, this.of(window)]));
  }

  /** The counts of a window, without those that are zero. */
  of(window: number): WorkspaceCounts {
    const counts = [...(this.windows.get(window) ?? [])];
    return Object.fromEntries(counts.filter(([, count]) => count > 0));
  }
}

/**
 * Sums the counts of all processes. Several VMs may report the counts of one
 * process, of which the latest ones are the highest.
 */
export function sumCounts(reports: readonly ProcessCounts[]): WorkspaceCounts {
  const byProcess = new Map<string, WorkspaceCounts>();
  for (const {vm, incarnation, counts} of reports) {
    const process = `${vm} ${incarnation}`;
    byProcess.set(process, higherCounts(byProcess.get(process) ?? {}, counts));
  }
  const sum = new Map<string, number>();
  for (const counts of byProcess.values()) {
    for (const [workspace, count] of Object.entries(counts)) {
      sum.set(workspace, (sum.get(workspace) ?? 0) + count);
    }
  }
  const sorted = [...sum].sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(sorted);
}

/** The higher count of each workspace. */
export function higherCounts(
  a: WorkspaceCounts,
  b: WorkspaceCounts,
): WorkspaceCounts {
  const higher = new Map(Object.entries(a));
  for (const [workspace, count] of Object.entries(b)) {
    higher.set(workspace, Math.max(count, higher.get(workspace) ?? 0));
  }
  return Object.fromEntries(higher);
}
