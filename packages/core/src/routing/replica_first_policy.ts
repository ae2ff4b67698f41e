import type {Random} from '../common/random.js';
import {covers} from '../session/log_position.js';
import {ageBoundMs} from './freshness.js';
import type {FreshnessLog} from './freshness.js';
import {currentPrimary} from './group_view.js';
import type {GroupView, MemberView} from './group_view.js';
import {PrimaryOnlyPolicy} from './primary_only_policy.js';
import {ReadPolicy} from './read_policy.js';
import type {MemberChoice, MemberRequest} from './read_policy.js';

/**
 * Sends a read to a replica whose data provably satisfies the session and the
 * maximum age, because the slots of the primary are needed for writes. If there
 * is none, the read waits for a replica until `replicaWaitUntil` and then uses
 * the primary. Writes, reads of current data and reads whose session
 * requirement is unknown go to the primary.
 */
export class ReplicaFirstPolicy extends ReadPolicy {
  private readonly primaryOnly = new PrimaryOnlyPolicy();

  override choose(
    request: MemberRequest,
    view: GroupView,
    freshness: FreshnessLog,
    random: Random,
    now: number,
  ): MemberChoice {
    const mayUseReplica =
      request.access === 'read' &&
      request.maxAgeMs > 0 &&
      request.requirement.kind === 'at-least';
    if (!mayUseReplica) {
      return this.primaryOnly.choose(request, view, freshness, random, now);
    }
    const eligible = view.members.filter(member =>
      isEligible(member, request, freshness, now),
    );
    const replica = random.pick(eligible);
    if (replica?.state) {
      return {
        kind: 'use',
        backendServer: replica.backendServer,
        servedBy: 'replica',
        term: replica.state.term,
      };
    }
    if (now < request.replicaWaitUntil && currentPrimary(view)) {
      return {kind: 'wait', reason: 'replica-behind'};
    }
    return this.primaryOnly.choose(request, view, freshness, random, now);
  }
}

function isEligible(
  member: MemberView,
  request: MemberRequest,
  freshness: FreshnessLog,
  now: number,
): boolean {
  const {state} = member;
  if (!state || state.role !== 'replica' || !member.accepting) return false;
  if (member.reachability !== 'reachable') return false;
  if (request.avoid.includes(member.backendServer)) return false;
  if (request.requirement.kind !== 'at-least') return false;
  if (!covers(state.applied, request.requirement.position)) return false;
  const age = ageBoundMs(member, freshness, now);
  return age !== undefined && age <= request.maxAgeMs;
}
