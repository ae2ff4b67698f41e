import {compareLogPosition} from '../session/log_position.js';
import type {LogPosition} from '../session/log_position.js';
import type {MemberRole} from '../routing/member_state.js';
import type {ListCompleteness} from '../watching/missing_member.js';

/** A member's report about itself during a primary change. */
export interface SuccessorReport {
  readonly member: string;
  readonly role: MemberRole;
  readonly term: number;
  /** The end of the log that the member has received. */
  readonly received: LogPosition;
  /**
   * Whether the member may take new work: it is not leaving, and its data
   * centre is in service.
   */
  readonly eligibility: 'eligible' | 'leaving';
  /** Whether the member is in the data centre of the VM that decides. */
  readonly proximity: 'near' | 'far';
}

/** The input of the choice of a successor. */
export interface SuccessorInput {
  /** The reports of the members that answered, without the one replaced. */
  readonly reports: readonly SuccessorReport[];
  /** The member that is replaced, if it answered. */
  readonly former: Pick<SuccessorReport, 'role' | 'term'> | undefined;
  /**
   * The latest term in which the replaced member is recorded to have led; 0 if
   * none is recorded.
   */
  readonly replacedTerm: number;
  /** The last log position that any VM observed at the replaced member. */
  readonly lastPosition: LogPosition | undefined;
  /** How many members the directory lists, without the one replaced. */
  readonly listedCount: number;
  /** Whether the directory lists all members that are alive. */
  readonly listing: ListCompleteness;
  /** The log position that the successor must hold, if it is determined. */
  readonly required: LogPosition | undefined;
  /** How many replicas hold every acknowledged commit besides the primary. */
  readonly synchronousReplicas: number;
  /** How long the choice has waited, in milliseconds. */
  readonly waitedMs: number;
}

/** What to do next in a primary change. */
export type SuccessorChoice =
  | {readonly kind: 'promote'; readonly member: string}
  /** A member is already primary in a later term. */
  | {readonly kind: 'already'; readonly member: string; readonly term: number}
  | {
      readonly kind: 'wait';
      readonly reason:
        'no-report' | 'behind' | 'not-all-reported' | 'partial-list';
    };

/** How long the choice waits for members that have not reported. */
const REPORT_WAIT_MS = 400;
/** How long a switchover waits for a replica to receive the whole log. */
const CATCH_UP_WAIT_MS = 3_000;
/**
 * How long the choice waits for missing reports if those received come only from
 * members that never followed the replaced primary. Promoting one of them drops
 * all commits of its term.
 */
const OUTDATED_WAIT_MS = 3_000;

/**
 * Chooses the member with the highest log position. With synchronous replicas,
 * an acknowledged commit may be on a single member besides the primary, so all
 * members that are alive must be listed and must have reported.
 */
export function chooseSuccessor(input: SuccessorInput): SuccessorChoice {
  const {reports, listing, required, waitedMs} = input;
  const areListedReported = reports.length >= input.listedCount;
  const areAllReported = areListedReported && listing === 'complete';
  const promoted = findPromotedMember(input);
  if (promoted && areAllReported) {
    return {kind: 'already', member: promoted.member, term: promoted.term};
  }
  const best = promoted ?? [...reports].sort(comparePreference)[0];
  if (!best) return {kind: 'wait', reason: 'no-report'};
  if (!areAllReported) {
    const needsAllReports = input.synchronousReplicas > 0 && !promoted;
    if (needsAllReports || waitedMs < reportWaitMs(input)) {
      const reason = areListedReported ? 'partial-list' : 'not-all-reported';
      return {kind: 'wait', reason};
    }
  }
  if (
    required &&
    compareLogPosition(best.received, required) < 0 &&
    waitedMs < CATCH_UP_WAIT_MS
  ) {
    return {kind: 'wait', reason: 'behind'};
  }
  // If reports are missing, the order is sent for a promoted member as well: a
  // silent member may have been promoted after it, which the order overrides.
  return {kind: 'promote', member: best.member};
}

/**
 * Returns the member that an earlier order has promoted, if any: it is primary
 * in the highest term that any member reports, and in a later term than the
 * replaced member led. A member that was replaced before, while it was cut off,
 * still reports to be primary, but in an earlier term.
 */
function findPromotedMember(
  input: SuccessorInput,
): SuccessorReport | undefined {
  const {reports, former, replacedTerm, lastPosition} = input;
  const highestTerm = Math.max(...reports.map(item => item.term));
  const primary = reports.find(
    item => item.role === 'primary' && item.term === highestTerm,
  );
  if (!primary || primary.term <= replacedTerm) return undefined;
  if (lastPosition && primary.term < lastPosition.term) return undefined;
  if (!former) return primary;
  if (former.role === 'primary') {
    return primary.term > former.term ? primary : undefined;
  }
  return primary.term >= former.term ? primary : undefined;
}

/** How long to wait for missing reports, in milliseconds. */
function reportWaitMs(input: SuccessorInput): number {
  const {reports, replacedTerm, lastPosition} = input;
  const knownTerm = Math.max(replacedTerm, lastPosition?.term ?? 0);
  const areOutdated = reports.every(item => item.term < knownTerm);
  return areOutdated ? OUTDATED_WAIT_MS : REPORT_WAIT_MS;
}

/** Sorts the preferred successor first. */
function comparePreference(a: SuccessorReport, b: SuccessorReport): number {
  return (
    compareLogPosition(b.received, a.received) ||
    rank(a.eligibility === 'eligible') - rank(b.eligibility === 'eligible') ||
    rank(a.proximity === 'near') - rank(b.proximity === 'near') ||
    (a.member < b.member ? -1 : 1)
  );
}

function rank(preferred: boolean): number {
  return preferred ? 0 : 1;
}
