import {rateHolderSharePpm, rateHoldersOf} from '@pistachiorill/core';
import type {ShareTable} from '@pistachiorill/core';

/**
 * Caches the rate holders of each workspace: the VMs that may spend its rate.
 * They are computed once per table of shares.
 */
export class WorkspaceShares {
  private table: ShareTable | undefined;
  private readonly rateHolders = new Map<string, readonly string[]>();

  constructor(private readonly vm: string) {}

  /** Returns the rate holders of a workspace. */
  rateHoldersOf(table: ShareTable, workspace: string): readonly string[] {
    if (this.table !== table) {
      this.table = table;
      this.rateHolders.clear();
    }
    const holders =
      this.rateHolders.get(workspace) ?? rateHoldersOf(table, workspace);
    this.rateHolders.set(workspace, holders);
    return holders;
  }

  /** Returns this VM's share of a workspace's rate, in parts per million. */
  shareOf(table: ShareTable, workspace: string): number {
    return rateHolderSharePpm(
      table,
      this.rateHoldersOf(table, workspace),
      this.vm,
    );
  }
}
