import {currentPrimary} from '@pistachiorill/core';
import type {GroupView, MemberView} from '@pistachiorill/core';
import type {GroupStatus, MemberStatus} from '@pistachiorill/store';

/** What operators see of a group. */
export function groupStatus(view: GroupView): GroupStatus {
  const primary = currentPrimary(view);
  const end = primary?.state?.received.position;
  return {
    database: view.database,
    term: Math.max(0, ...view.members.map(m => m.state?.fencedTerm ?? 0)),
    ...(primary ? {primary: primary.backendServer} : {}),
    members: view.members.map(member => memberStatus(member, end)),
  };
}

function memberStatus(
  member: MemberView,
  end: number | undefined,
): MemberStatus {
  const {state} = member;
  const lag =
    end === undefined || !state
      ? {}
      : {lagEntries: Math.max(0, end - state.applied.position)};
  return {
    backendServer: member.backendServer,
    dataCentre: member.dataCentre,
    role: state?.role ?? 'unknown',
    term: state?.term ?? 0,
    reachability: member.reachability,
    accepting: member.accepting ? 'yes' : 'no',
    ...lag,
  };
}
