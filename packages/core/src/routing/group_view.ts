import type {MemberState} from './member_state.js';

/** Whether a VM can reach a member; `unknown` before the first poll. */
export type Reachability = 'reachable' | 'unreachable' | 'unknown';

/** The latest observation of a member by one VM. */
export interface MemberView {
  readonly backendServer: string;
  readonly dataCentre: string;
  readonly reachability: Reachability;
  /** When the reachability last changed. */
  readonly reachabilitySince: number;
  /** The state in the last reply, if one was received since the VM started. */
  readonly state?: MemberState;
  /** When the poll that returned `state` was sent. */
  readonly polledAt: number;
  /** Whether new statements may be sent to the member. */
  readonly accepting: boolean;
}

/** The latest observation of a database group by one VM. */
export interface GroupView {
  readonly database: string;
  readonly members: readonly MemberView[];
}

/** Returns the number of members that form a majority of a group. */
export function majorityOf(memberCount: number): number {
  return Math.floor(memberCount / 2) + 1;
}

/**
 * Returns the primary with the highest reported term, without those that are
 * fenced above their own term. Returns undefined if no primary is left, such as
 * when the primary is fenced and no other member is promoted yet.
 */
export function currentPrimary(view: GroupView): MemberView | undefined {
  let best: MemberView | undefined;
  for (const member of view.members) {
    if (member.state?.role !== 'primary') continue;
    if (member.state.fencedTerm > member.state.term) continue;
    if (!best?.state || member.state.term > best.state.term) best = member;
  }
  return best;
}
