import {logContains} from '@pistachiorill/platform/standins';
import type {Commit, History} from '@pistachiorill/platform/standins';
import type {Violation} from './check_history.js';

/**
 * Finds commits that a member lacked when it was promoted although they had been
 * acknowledged. It must hold them if a commit is acknowledged only once a replica
 * has received it.
 */
export function checkPromotions(history: History): readonly Violation[] {
  const {operations, promotions, commits} = history;
  const acknowledgedAt = new Map(
    operations
      .filter(item => item.outcome === 'success')
      .map(item => [item.data, item.endedAt]),
  );
  return promotions.flatMap(({group, member, term, at, log}) => {
    const wasAcknowledged = (commit: Commit): boolean =>
      (acknowledgedAt.get(commit.data) ?? Infinity) < at;
    const lost = commits.filter(
      commit =>
        commit.group === group &&
        commit.term < term &&
        wasAcknowledged(commit) &&
        !logContains(commit, log),
    );
    if (lost.length === 0) return [];
    const detail = `${lost.length} by the promotion of ${member}, term ${term}`;
    return [{promise: 'acknowledged-commit-lost' as const, detail}];
  });
}
