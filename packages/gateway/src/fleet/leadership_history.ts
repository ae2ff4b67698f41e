import {isConfirmed, newestLeadership} from '@pistachiorill/core';
import type {StoreProof, VersionedLeadership} from '@pistachiorill/core';
import type {FleetRows} from './fleet_rows.js';

/** Remembers the newest leadership records that this VM has read. */
export class LeadershipHistory {
  private readonly known = new Map<string, VersionedLeadership>();
  /** By group, the last proof of an era in which its record was confirmed. */
  private readonly provenBefore = new Map<string, StoreProof>();

  /** Keeps the proof of the confirmed records when their era ends. */
  endEra({leadership}: FleetRows, proof: StoreProof | undefined): void {
    if (!proof) return;
    for (const [group, item] of leadership) {
      if (isConfirmed(item)) this.provenBefore.set(group, proof);
    }
  }

  /**
   * Returns the rows with the newest known records: the store may have gone back
   * to a copy that lacks them.
   */
  complete(rows: FleetRows, version: number): FleetRows {
    const leadership = new Map(rows.leadership);
    for (const [group, known] of this.known) {
      const newest = newestLeadership(leadership.get(group), known, version);
      if (newest) leadership.set(group, newest);
    }
    for (const [group, newest] of leadership) {
      if (newest.standing !== 'lost') this.known.set(group, newest);
      if (isConfirmed(newest)) continue;
      const earlierProof = this.provenBefore.get(group);
      leadership.set(group, {...newest, earlierProof});
    }
    return {...rows, leadership};
  }
}
