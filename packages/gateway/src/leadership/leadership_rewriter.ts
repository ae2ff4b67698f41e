import {eraOf, isConfirmed, isRewriteDue} from '@pistachiorill/core';
import type {VersionedLeadership} from '@pistachiorill/core';
import {encodeLeadership, leadershipKey} from '../fleet/fleet_rows.js';
import type {PrimaryChangeDependencies} from './primary_change_dependencies.js';

/** Collaborators of the rewriter. */
export interface LeadershipRewriterDependencies extends Pick<
  PrimaryChangeDependencies,
  'view' | 'transact' | 'log'
> {
  /** How long this VM waits before it acts for a group. */
  readonly rankDelay: (group: string) => number;
}

/**
 * Writes leadership records again after the store went back to a copy: at once
 * those that the copy lacks, and after a wait those that it has. Only then do
 * VMs renew their primary leases on them.
 */
export class LeadershipRewriter {
  private readonly groupsBeingWritten = new Set<string>();

  constructor(private readonly deps: LeadershipRewriterDependencies) {}

  /** Starts the writes that are due. */
  review(now: number): void {
    const {rows, era} = this.deps.view();
    if (!era) return;
    const seenForMs = now - era.seenAt;
    for (const [group, leadership] of rows.leadership) {
      if (isConfirmed(leadership)) continue;
      if (this.groupsBeingWritten.has(group)) continue;
      const rankDelayMs = this.deps.rankDelay(group);
      if (!isRewriteDue(leadership, seenForMs, rankDelayMs)) continue;
      void this.rewrite(group, leadership);
    }
  }

  private async rewrite(
    group: string,
    {record, version, origin, standing}: VersionedLeadership,
  ): Promise<void> {
    const key = leadershipKey(group);
    const era = eraOf(this.deps.view().version);
    this.groupsBeingWritten.add(group);
    const result = await this.deps.transact({
      expected: new Map([[key, version]]),
      puts: new Map([[key, encodeLeadership(record, era, origin)]]),
    });
    this.groupsBeingWritten.delete(group);
    this.deps.log.info(
      {
        event: 'leadership.rewritten',
        group,
        record,
        standing,
        era,
        result: result.ok ? 'done' : result.err,
      },
      'tried to write the record of the primary again',
    );
  }
}
