import type {BackendServer, MemberView} from '@pistachiorill/core';
import type {PollReply} from './member_control_task.js';

/** Returns the view of a member before its first poll. */
export function unpolledMemberView(server: BackendServer): MemberView {
  return {
    backendServer: server.name,
    dataCentre: server.dataCentre,
    reachability: 'unknown',
    reachabilitySince: 0,
    polledAt: 0,
    accepting: true,
  };
}

/**
 * Returns the view of a member after a poll. A failed poll makes the member
 * unreachable and keeps its last known state.
 */
export function withPollReply(
  member: MemberView,
  poll: PollReply,
  now: number,
): MemberView {
  const reachability = poll.result.ok ? 'reachable' : 'unreachable';
  return {
    ...member,
    reachability,
    reachabilitySince:
      reachability === member.reachability ? member.reachabilitySince : now,
    ...(poll.result.ok
      ? {state: poll.result.value, polledAt: poll.sentAt}
      : {}),
  };
}
