import {covers} from '../session/log_position.js';
import type {GroupView, MemberView} from '../routing/group_view.js';
import type {AttemptMember} from './attempt.js';
import {SWITCHOVER_SETTLE_MS} from './failover_limits.js';
import type {ReceivedReport} from './failover_report.js';

/**
 * Whether a switchover is needed and may start. `none`: the primary may stay,
 * or no reachable member may take over.
 */
export type SwitchoverDecision = 'none' | 'wait' | 'ready';

/**
 * Decides whether a healthy primary that has to leave can be replaced now. The
 * switchover waits until the VMs hold back new writes, all running writes have
 * ended and a member that may be primary holds the whole log. It waits at most
 * `graceMs` for the running writes.
 */
export function decideSwitchover(
  view: GroupView,
  primary: MemberView,
  members: readonly AttemptMember[],
  reports: readonly ReceivedReport[],
  waitedMs: number,
  graceMs: number,
): SwitchoverDecision {
  const eligibility = new Map(
    members.map(m => [m.backendServer, m.eligibility]),
  );
  if (eligibility.get(primary.backendServer) !== 'leaving') return 'none';
  const allowed = view.members.filter(
    member =>
      eligibility.get(member.backendServer) === 'allowed' &&
      member.reachability === 'reachable' &&
      member.state !== undefined,
  );
  if (allowed.length === 0) return 'none';
  if (waitedMs < SWITCHOVER_SETTLE_MS) return 'wait';
  const primaryPosition = primary.state?.received;
  const caughtUp = allowed.some(
    ({state}) =>
      primaryPosition && state && covers(state.received, primaryPosition),
  );
  const busy = reports.some(({report}) => report.running > 0);
  return caughtUp && (!busy || waitedMs >= SWITCHOVER_SETTLE_MS + graceMs)
    ? 'ready'
    : 'wait';
}
