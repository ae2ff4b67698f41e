import {
  fail,
  laterPosition,
  ok,
  rankForRead,
  requiredPosition,
} from '@pistachiorill/core';
import type {
  LeadershipRecord,
  MemberRole,
  PositionSamples,
  PrimaryRight,
  Result,
} from '@pistachiorill/core';
import type {Lease, LeaseRefusal, LeaseRequest} from './lease.js';
import {leaseRefusal, refusalOf} from './lease_refusals.js';
import type {MemberTable} from './member_table.js';

/** The demanded age is lowered by this, as a statement waits before it runs. */
const AGE_MARGIN_MS = 100;
/**
 * A primary that leaves gets statements for this long after it was listed so;
 * its move should be over by then.
 */
const LEAVING_USE_MS = 4_000;

/** Where a statement is to run. */
export type Placement = Omit<Lease, 'connection'>;

/** What is known when a statement is placed. */
export interface PlacementBasis {
  readonly members: MemberTable;
  readonly samples: PositionSamples;
  readonly right: PrimaryRight;
  readonly record: LeadershipRecord | undefined;
  readonly now: number;
}

type Placed = Result<Placement, LeaseRefusal>;

/** Chooses the member that runs a statement, or says why none may. */
export function placeStatement(
  request: LeaseRequest,
  basis: PlacementBasis,
): Placed {
  const {need} = request;
  return need.kind === 'primary'
    ? placeAtPrimary(request, basis)
    : placeRecent(request, need, basis);
}

function placeAtPrimary(
  request: LeaseRequest,
  {members, right, now}: PlacementBasis,
): Placed {
  if (right.kind === 'denied') return fail(refusalOf(right.reason));
  const {primary: member} = right;
  const listed = members.listed(member);
  if (!listed || request.avoid.includes(member)) {
    return fail(leaseRefusal('no-primary', 'the primary is not available'));
  }
  const isLeaving = members.leavingMs(member, now) > LEAVING_USE_MS;
  if (members.isOut(listed) || isLeaving) {
    return fail(leaseRefusal('primary-moving', 'the primary leaves'));
  }
  if (!members.isInRegions(listed, request.regions)) {
    const detail = 'the primary is in another region';
    return fail(leaseRefusal('no-member', detail));
  }
  if (members.sighting(member, now) === 'unreachable') {
    return fail(leaseRefusal('no-primary', 'the primary does not answer'));
  }
  if (!members.admitWarmingUp(member, now)) {
    return fail(leaseRefusal('rate-of-cold-member', 'the primary warms up'));
  }
  return ok({member, role: 'primary', after: undefined});
}

function placeRecent(
  request: LeaseRequest,
  need: Extract<LeaseRequest['need'], {kind: 'recent'}>,
  basis: PlacementBasis,
): Placed {
  const {members, samples, right, now} = basis;
  const sample = requiredPosition(samples, need.maxAgeMs - AGE_MARGIN_MS, now);
  const after = sample && laterPosition(sample, need.seen);
  const loads = members.loads(request, rolesOf(basis), now);
  const ranked = rankForRead(loads, after, now);
  const isFree = (member: string): boolean =>
    members.pool(member)?.canGrant(request, now) === true;
  const member = [...ranked.filter(isFree), ...ranked].find(item =>
    members.admitWarmingUp(item, now),
  );
  if (member === undefined) {
    return right.kind === 'denied'
      ? fail(refusalOf(right.reason))
      : fail(leaseRefusal('no-member', 'no member holds recent data'));
  }
  const role = loads.find(load => load.member === member)?.role ?? 'replica';
  return ok({member, role, after: role === 'replica' ? after : undefined});
}

/** The role in which each member may be used now. */
function rolesOf({
  right,
  record,
}: PlacementBasis): (member: string) => MemberRole | 'unusable' {
  const recorded = record?.phase === 'settled' ? record.primary : record?.from;
  const asPrimary = right.kind === 'granted' ? 'primary' : 'unusable';
  return member => (member === recorded ? asPrimary : 'replica');
}
