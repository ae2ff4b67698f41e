import type {AdaptiveConcurrency, LimitReason} from '@pistachiorill/core';
import type {DatabaseDependencies} from './database_tools.js';

/** Receives a member's limit; undefined once the member has left. */
export type ConcurrencyObserver = (
  member: string,
  state: AdaptiveConcurrency | undefined,
) => void;

/** Logs and counts the limits on concurrent statements at a group's members. */
export class MemberLimitLog {
  private readonly reasons = new Map<string, LimitReason>();

  constructor(
    private readonly group: string,
    private readonly deps: Pick<DatabaseDependencies, 'log' | 'metrics'>,
  ) {}

  /**
   * Records a change, or that the member left; only the start and the end of a
   * limit are logged.
   */
  changed(member: string, state: AdaptiveConcurrency | undefined): void {
    const {group} = this;
    const {log, metrics} = this.deps;
    if (!state) {
      this.reasons.delete(member);
      metrics?.memberLeft(group, member);
      return;
    }
    const {reason, limit} = state;
    metrics?.memberLimited(group, member, limit);
    const before = this.reasons.get(member);
    if (reason === 'none') {
      this.reasons.delete(member);
      log.info(
        {event: 'member.limit-lifted', group, member, reason: before},
        'member answers normally at the full number of statements',
      );
      return;
    }
    this.reasons.set(member, reason);
    if (before !== undefined) return;
    log.info(
      {event: 'member.limited', group, member, reason, limit},
      'concurrent statements at the member are limited',
    );
  }
}
