import {currentPrimary} from '@pistachiorill/core';
import type {GroupView, MemberView} from '@pistachiorill/core';
import type {GroupStatus, MemberStatus} from '@pistachiorill/store';

/**
 * Builds the status of a group for operators. The lag of a member is the
 * distance of its applied position from the last entry that the primary
 * has received.
 */
export function groupStatus(view: GroupView): GroupStatus {
  const primary = currentPrimary(view);
  const endPosition = primary?.state?.received.position;
  return {
    database: view.database,
    term: Math.max(0, ...view.members.map(m => m.state?.fencedTerm ?? 0)),
    ...(primary ? {primary: primary.backendServer} : {}),
    members: view.members.map(member => memberStatus(member, endPosition)),
  };
}

function memberStatus(
  member: MemberView,
  endPosition: number | undefined,
): MemberStatus {
  const {state} = member;
  const lag =
    endPosition === undefined || !state
      ? {}
      : {lagEntries: Math.max(0, endPosition - state.applied.position)};
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
