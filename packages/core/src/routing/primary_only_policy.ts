import type {Random} from '../common/random.js';
import type {FreshnessLog} from './freshness.js';
import {currentPrimary} from './group_view.js';
import type {GroupView} from './group_view.js';
import {ReadPolicy} from './read_policy.js';
import type {MemberChoice, MemberRequest} from './read_policy.js';

/**
 * Sends every statement to the primary. Writes use this policy, and it is the
 * baseline for the other read policies.
 */
export class PrimaryOnlyPolicy extends ReadPolicy {
  override choose(
    unusedRequest: MemberRequest,
    view: GroupView,
    unusedFreshness: FreshnessLog,
    unusedRandom: Random,
    unusedNow: number,
  ): MemberChoice {
    const primary = currentPrimary(view);
    // An unreachable primary may be replaced at any time, so statements wait
    // for the next poll instead of failing one by one.
    const usable =
      primary?.accepting === true && primary.reachability === 'reachable';
    if (!primary?.state || !usable) {
      return {kind: 'wait', reason: 'no-primary'};
    }
    return {
      kind: 'use',
      backendServer: primary.backendServer,
      servedBy: 'primary',
      term: primary.state.term,
    };
  }
}
