import {
  fail,
  laterPosition,
  ok,
  rankMembersForRead,
  requiredPosition,
} from '@pistachiorill/core';
import type {
  LeadershipRecord,
  MemberRole,
  PositionSamples,
  PrimaryLeaseDecision,
  Result,
} from '@pistachiorill/core';
import type {Checkout, CheckoutRefusal, CheckoutRequest} from './checkout.js';
import {checkoutRefusal, primaryLeaseRefusal} from './lease_refusals.js';
import type {MemberTable} from './member_table.js';

/** Subtracted from the maximum age, as a statement waits before it runs. */
export const AGE_MARGIN_MS = 100;
/**
 * A leaving primary receives statements for this long after it was first listed
 * as leaving; the switchover should be complete by then.
 */
const LEAVING_PRIMARY_USE_MS = 4_000;

/** The member that runs a statement, without a connection to it. */
export type Placement = Omit<Checkout, 'connection'>;

/** The state on which the placement of a statement depends. */
export interface PlacementContext {
  readonly members: MemberTable;
  /** Log positions that the primary reported, and when. */
  readonly samples: PositionSamples;
  readonly primaryLease: PrimaryLeaseDecision;
  readonly record: LeadershipRecord | undefined;
  readonly now: number;
}

type PlacementResult = Result<Placement, CheckoutRefusal>;

/** Chooses the member that runs a statement, or returns why none may. */
export function placeStatement(
  request: CheckoutRequest,
  context: PlacementContext,
): PlacementResult {
  const {requirement} = request;
  return requirement.kind === 'primary'
    ? placeAtPrimary(request, context)
    : placeRecentRead(request, requirement, context);
}

function placeAtPrimary(
  request: CheckoutRequest,
  {members, primaryLease: lease, now}: PlacementContext,
): PlacementResult {
  if (lease.kind === 'denied') return fail(primaryLeaseRefusal(lease.reason));
  const {primary: member} = lease;
  const listed = members.listed(member);
  if (!listed || request.excluded.includes(member)) {
    return fail(checkoutRefusal('no-primary', 'the primary is not available'));
  }
  const isLeaving = members.leavingMs(member, now) > LEAVING_PRIMARY_USE_MS;
  if (members.isOut(listed) || isLeaving) {
    return fail(checkoutRefusal('primary-changing', 'the primary leaves'));
  }
  if (!members.isInRegions(listed, request.regions)) {
    const detail = 'the primary is in another region';
    return fail(checkoutRefusal('no-member', detail));
  }
  if (members.observation(member, now) === 'unreachable') {
    return fail(checkoutRefusal('no-primary', 'the primary does not answer'));
  }
  if (!members.admitDuringWarmup(member, now)) {
    return fail(checkoutRefusal('member-warming-up', 'the primary warms up'));
  }
  return ok({member, role: 'primary', after: undefined});
}

/**
 * Prefers members with a free connection, and passes over members whose warm-up
 * rate is used up.
 */
function placeRecentRead(
  request: CheckoutRequest,
  requirement: Extract<CheckoutRequest['requirement'], {kind: 'recent'}>,
  context: PlacementContext,
): PlacementResult {
  const {members, samples, primaryLease: lease, now} = context;
  const sample = requiredPosition(
    samples,
    requirement.maxAgeMs - AGE_MARGIN_MS,
    now,
  );
  const after = sample && laterPosition(sample, requirement.seen);
  const loads = members.readCandidates(request, rolesOf(context), now);
  const ranked = rankMembersForRead(loads, after, now);
  const isFree = (member: string): boolean =>
    members.pool(member)?.canGrant(request, now) === true;
  const member = [...ranked.filter(isFree), ...ranked].find(item =>
    members.admitDuringWarmup(item, now),
  );
  if (member === undefined) {
    return lease.kind === 'denied'
      ? fail(primaryLeaseRefusal(lease.reason))
      : fail(checkoutRefusal('no-member', 'no member holds recent data'));
  }
  const role = loads.find(load => load.member === member)?.role ?? 'replica';
  return ok({member, role, after: role === 'replica' ? after : undefined});
}

/** Returns the role in which each member may be used at present. */
function rolesOf({
  primaryLease: lease,
  record,
}: PlacementContext): (member: string) => MemberRole | 'unusable' {
  const recorded = record?.phase === 'settled' ? record.primary : record?.from;
  const asPrimary = lease.kind === 'granted' ? 'primary' : 'unusable';
  return member => (member === recorded ? asPrimary : 'replica');
}
