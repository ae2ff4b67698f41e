import {newestLeadership} from '@pistachiorill/core';
import type {VersionedLeadership} from '@pistachiorill/core';
import type {FleetRows} from './fleet_rows.js';

/** Remembers the newest leadership records that this VM has read. */
export class LeadershipHistory {
  private readonly known = new Map<string, VersionedLeadership>();

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
    }
    return {...rows, leadership};
  }
}
