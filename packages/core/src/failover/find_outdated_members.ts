import type {GroupView, MemberView} from '../routing/group_view.js';

/**
 * Returns the reachable members that operate in an older term than the
 * primary, such as a former primary that came back. Any VM may order them to
 * follow the primary without coordination, because the primary itself reported
 * its term.
 */
export function findOutdatedMembers(
  view: GroupView,
  primary: MemberView,
): MemberView[] {
  const term = primary.state?.term ?? 0;
  return view.members.filter(
    member =>
      member.backendServer !== primary.backendServer &&
      member.reachability === 'reachable' &&
      member.state !== undefined &&
      member.state.term < term &&
      member.state.fencedTerm <= term,
  );
}
