import {MAX_VMS_WITHOUT_SELECTION} from '../common/representatives.js';
import type {WorkspaceCounts} from './usage_counts.js';

/** The counts of one process by window. */
export type CountsByWindow = ReadonlyMap<number, WorkspaceCounts>;

/** A VM that is killed owes the counts of this time in a small fleet. */
const SMALL_FLEET_INTERVAL_MS = 500;
/** One call a second bounds the cost, about 0.24 ms of processor time each. */
const LARGE_FLEET_INTERVAL_MS = 1_000;
/**
 * In a large fleet a VM with fewer statements in each window has too small a part
 * of them to matter. VMs that run the statements of others have far more.
 */
const MIN_COUNT_OF_WINDOW = 20;

/** Whether the VMs are so few that the counts of each one matter. */
function isSmallFleet(vmCount: number): boolean {
  return vmCount <= MAX_VMS_WITHOUT_SELECTION;
}

/**
 * Returns whether the part of one VM may exceed the tolerance of a report, so
 * that another VM keeps its counts in case it ends.
 */
export function needsBackup(counts: CountsByWindow, vmCount: number): boolean {
  if (isSmallFleet(vmCount)) return true;
  return [...counts.values()].some(
    window => totalOf(window) >= MIN_COUNT_OF_WINDOW,
  );
}

function totalOf(counts: WorkspaceCounts): number {
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

/** The pause between two backups. */
export function backupIntervalMs(vmCount: number): number {
  return isSmallFleet(vmCount)
    ? SMALL_FLEET_INTERVAL_MS
    : LARGE_FLEET_INTERVAL_MS;
}

/**
 * Which VM keeps the counts: the holder of the lease in a small fleet, which asks
 * it first; any VM in a large one, so that no VM receives all calls.
 */
export function backupOrder(vmCount: number): 'holder-first' | 'spread' {
  return isSmallFleet(vmCount) ? 'holder-first' : 'spread';
}

/** The counts that differ from those that a VM keeps already. */
export function changedCounts(
  counts: CountsByWindow,
  kept: CountsByWindow,
): CountsByWindow {
  const changed = new Map<number, WorkspaceCounts>();
  for (const [window, byWorkspace] of counts) {
    const before = new Map(Object.entries(kept.get(window) ?? {}));
    const entries = Object.entries(byWorkspace).filter(
      ([workspace, count]) => before.get(workspace) !== count,
    );
    if (entries.length > 0) changed.set(window, Object.fromEntries(entries));
  }
  return changed;
}
