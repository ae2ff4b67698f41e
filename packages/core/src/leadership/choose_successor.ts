import {compareLogPosition} from '../session/log_position.js';
import type {LogPosition} from '../session/log_position.js';
import type {MemberRole} from '../routing/member_state.js';

/** A member's own report during a change of primary. */
export interface SuccessorReport {
  readonly member: string;
  readonly role: MemberRole;
  readonly term: number;
  /** The end of the log that it received. */
  readonly received: LogPosition;
  /** Whether it may take new work: not leaving, its data centre in service. */
  readonly eligibility: 'eligible' | 'leaving';
  /** Whether it is in the data centre of the VM that decides. */
  readonly proximity: 'near' | 'far';
}

/** What is known when a successor is chosen. */
export interface SuccessorSituation {
  /** Members other than the one that is replaced that answered. */
  readonly reports: readonly SuccessorReport[];
  /** The member that is replaced, if it answered. */
  readonly former: Pick<SuccessorReport, 'role' | 'term'> | undefined;
  /** How many such members the directory lists. */
  readonly listed: number;
  /** The end of the log that the successor must hold, if it is known. */
  readonly required: LogPosition | undefined;
  /** Replicas that hold every acknowledged commit besides the primary. */
  readonly synchronousReplicas: number;
  /** How long the choice has waited. */
  readonly waitedMs: number;
}

export type SuccessorChoice =
  | {readonly kind: 'promote'; readonly member: string}
  /** A member leads already in a later term. */
  | {readonly kind: 'already'; readonly member: string}
  | {
      readonly kind: 'wait';
      readonly reason: 'no-report' | 'behind' | 'not-all-reported';
    };

/** How long the choice waits for members that have not reported. */
const REPORT_WAIT_MS = 400;
/** How long a planned change waits for a replica to receive the whole log. */
const CATCH_UP_WAIT_MS = 3_000;

/**
 * Chooses the member with the most of the log. With synchronous replicas an
 * acknowledged commit may be on one member only, so all must have reported.
 */
export function chooseSuccessor(
  situation: SuccessorSituation,
): SuccessorChoice {
  const {reports, required, waitedMs} = situation;
  const leader = presentLeader(situation);
  if (leader) return {kind: 'already', member: leader.member};
  const best = [...reports].sort(preference)[0];
  if (!best) return {kind: 'wait', reason: 'no-report'};
  if (reports.length < situation.listed) {
    const mustHearAll = situation.synchronousReplicas > 0;
    if (mustHearAll || waitedMs < REPORT_WAIT_MS) {
      return {kind: 'wait', reason: 'not-all-reported'};
    }
  }
  if (
    required &&
    compareLogPosition(best.received, required) < 0 &&
    waitedMs < CATCH_UP_WAIT_MS
  ) {
    return {kind: 'wait', reason: 'behind'};
  }
  return {kind: 'promote', member: best.member};
}

/**
 * The member that an earlier order made primary: it leads in the highest term
 * that any member reports, and the former primary does not lead in that term.
 */
function presentLeader({
  reports,
  former,
}: SuccessorSituation): SuccessorReport | undefined {
  const leader = reports.find(item => item.role === 'primary');
  if (!leader) return undefined;
  const terms = reports.map(item => item.term);
  if (Math.max(...terms) > leader.term) return undefined;
  if (!former) return leader;
  if (former.role === 'primary') {
    return leader.term > former.term ? leader : undefined;
  }
  return leader.term >= former.term ? leader : undefined;
}

function preference(a: SuccessorReport, b: SuccessorReport): number {
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
