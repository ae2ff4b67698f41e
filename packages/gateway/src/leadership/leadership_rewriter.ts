import {eraOf, isConfirmed, isRewriteDue} from '@pistachiorill/core';
import type {VersionedLeadership} from '@pistachiorill/core';
import {encodeLeadership, leadershipKey} from '../fleet/fleet_rows.js';
import type {PrimaryChangeDependencies} from './primary_change_dependencies.js';

/** The pause between attempts; a conflict ends once the rows have been read. */
const RETRY_MS = 500;

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
  /** By group, when the last attempt started. */
  private readonly triedAt = new Map<string, number>();

  constructor(private readonly deps: LeadershipRewriterDependencies) {}

  /** Starts the writes that are due. */
  review(now: number): void {
    const {rows, era} = this.deps.view();
    if (!era) return;
    const seenForMs = now - era.seenAt;
    for (const [group, leadership] of rows.leadership) {
      if (isConfirmed(leadership)) continue;
      const triedAt = this.triedAt.get(group) ?? -Infinity;
      if (now - triedAt < RETRY_MS) continue;
      const rankDelayMs = this.deps.rankDelay(group);
      if (!isRewriteDue(leadership, seenForMs, rankDelayMs)) continue;
      this.triedAt.set(group, now);
      void this.rewrite(group, leadership);
    }
  }

  private async rewrite(
    group: string,
    {record, version, origin, standing}: VersionedLeadership,
  ): Promise<void> {
    const key = leadershipKey(group);
    const era = eraOf(this.deps.view().version);
    const result = await this.deps.transact({
      expected: new Map([[key, version]]),
      puts: new Map([[key, encodeLeadership(record, era, origin)]]),
    });
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
