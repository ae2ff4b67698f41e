import {compareLogPosition} from '../session/log_position.js';
import type {LogPosition} from '../session/log_position.js';
import {majorityOf} from './group_view.js';
import type {GroupView, MemberView} from './group_view.js';

/** The number of polls of the primary that are kept. */
const MAX_SAMPLES = 64;

/** The end of the primary's log, as reported by a poll sent at `sentAt`. */
export interface PrimarySample {
  readonly sentAt: number;
  readonly end: LogPosition;
  /**
   * `proven` once polls sent at or after `sentAt` have found a majority of the
   * members not fenced above the term of `end`.
   */
  readonly proof: 'pending' | 'proven';
}

/** Polls of the primary, oldest first. */
export type FreshnessLog = readonly PrimarySample[];

/**
 * Appends a poll of the primary as a pending sample and drops the oldest
 * samples beyond the limit.
 */
export function recordPrimarySample(
  log: FreshnessLog,
  sample: {readonly sentAt: number; readonly end: LogPosition},
): FreshnessLog {
  return [...log, {...sample, proof: 'pending' as const}].slice(-MAX_SAMPLES);
}

/**
 * Marks the pending samples that the view proves. A sample is valid only if no
 * newer primary existed when its poll was sent. A promotion first fences a
 * majority, so a majority that is still unfenced in polls sent at the same time
 * or later rules out a newer primary.
 */
export function proveSamples(log: FreshnessLog, view: GroupView): FreshnessLog {
  return log.map(sample =>
    sample.proof === 'pending' &&
    isMajorityUnfenced(view, sample.end.term, sample.sentAt)
      ? {...sample, proof: 'proven'}
      : sample,
  );
}

/**
 * Returns whether polls sent at or after `since` show a majority of the members
 * not fenced above `term`.
 */
export function isMajorityUnfenced(
  view: GroupView,
  term: number,
  since: number,
): boolean {
  const unfenced = view.members.filter(
    member =>
      member.state !== undefined &&
      member.polledAt >= since &&
      member.state.fencedTerm <= term,
  );
  return unfenced.length >= majorityOf(view.members.length);
}

/**
 * Returns whether a majority of the members operate in the term of a log entry
 * and have received the entry. An entry of an older term that a later primary
 * replicates does not count: a member whose log ends in a term between the two
 * can still be promoted next and drop the entry.
 */
export function isHeldByMajority(view: GroupView, entry: LogPosition): boolean {
  const holders = view.members.filter(
    ({state}) =>
      state !== undefined &&
      state.term === entry.term &&
      state.received.term === entry.term &&
      state.received.position >= entry.position,
  );
  return holders.length >= majorityOf(view.members.length);
}

/**
 * Returns an upper bound, in milliseconds, for the age of a member's data. The
 * bound is the age of the newest proven sample whose log end the member has
 * applied. Returns undefined if there is no such sample.
 */
export function ageBoundMs(
  member: MemberView,
  log: FreshnessLog,
  now: number,
): number | undefined {
  const applied = member.state?.applied;
  if (!applied) return undefined;
  const newest = log.findLast(
    sample =>
      sample.proof === 'proven' && compareLogPosition(applied, sample.end) >= 0,
  );
  return newest && now - newest.sentAt;
}
