import {majorityOf} from '../routing/group_view.js';
import type {GroupView, MemberView} from '../routing/group_view.js';
import type {MemberState} from '../routing/member_state.js';

/** Why a group is suspected to have no primary that can serve writes. */
export type SuspicionReason =
  'no-primary' | 'primary-unreachable' | 'unfinished-attempt';

/**
 * The failure evidence for a suspicion.
 *
 * - `members`: a majority of the members shows that no primary can have a write
 *   acknowledged, so the agreement of other VMs is not required.
 * - `agreement`: this VM does not reach the primary. The fault may be its own,
 *   so VMs of other data centres must agree.
 */
export type FailureEvidence = 'members' | 'agreement';

/** One VM's assessment of a group. */
export type Assessment =
  | {
      readonly kind: 'healthy';
      readonly term: number;
      readonly primary: MemberView;
    }
  | {
      readonly kind: 'suspect';
      readonly term: number;
      readonly reason: SuspicionReason;
      readonly evidence: FailureEvidence;
    }
  /** The VM reaches no majority, so it can neither assess the group nor act. */
  | {readonly kind: 'majority-unreachable'; readonly term: number};

/** Assesses whether a group has a primary that can serve writes. */
export function assessGroup(view: GroupView): Assessment {
  const majority = majorityOf(view.members.length);
  const reachable = view.members.flatMap(member =>
    member.reachability === 'reachable' && member.state ? [member.state] : [],
  );
  const term = Math.max(0, ...view.members.map(m => m.state?.term ?? 0));
  if (reachable.length < majority) return {kind: 'majority-unreachable', term};
  const primary = view.members.find(
    m => m.state?.role === 'primary' && m.state.term === term,
  );
  const withoutPrimary = reachable.filter(followsNoPrimary).length;
  const evidence = withoutPrimary >= majority ? 'members' : 'agreement';
  const suspect = (
    reason: SuspicionReason,
    basis: FailureEvidence = evidence,
  ): Assessment => ({kind: 'suspect', term, reason, evidence: basis});
  if (!primary) return suspect('no-primary');
  if (primary.reachability !== 'reachable') {
    return suspect('primary-unreachable');
  }
  // A member that is fenced at a higher term accepts no replication until an
  // attempt at that term or above completes.
  if (reachable.some(state => state.fencedTerm > term)) {
    return suspect('unfinished-attempt', 'members');
  }
  return {kind: 'healthy', term, primary};
}

/**
 * Whether a member shows that it acknowledges writes of no primary: it was
 * never fenced, or it is fenced at a term in which it follows no primary yet.
 */
function followsNoPrimary(state: MemberState): boolean {
  return state.fencedTerm === 0 || state.fencedTerm > state.term;
}
