import {homeShare, homesOf} from '@pistachiorill/core';
import type {ShareTable} from '@pistachiorill/core';

/** Which VMs hold the rate of each workspace, worked out once for a table. */
export class WorkspaceShares {
  private table: ShareTable | undefined;
  private readonly homes = new Map<string, readonly string[]>();

  constructor(private readonly vm: string) {}

  homesOf(table: ShareTable, workspace: string): readonly string[] {
    if (this.table !== table) {
      this.table = table;
      this.homes.clear();
    }
    const known = this.homes.get(workspace) ?? homesOf(table, workspace);
    this.homes.set(workspace, known);
    return known;
  }

  /** This VM's part of a workspace's rate in parts per million. */
  shareOf(table: ShareTable, workspace: string): number {
    return homeShare(table, this.homesOf(table, workspace), this.vm);
  }
}
