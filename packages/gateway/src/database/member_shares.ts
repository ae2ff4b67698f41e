import type {ListedMember} from '../ports/member_directory.js';
import type {GroupView, OwnerShare} from './database_message.js';
import type {MemberPoolLimits} from './pool_request.js';

/** The number of concurrent statements per VM and slot of a member. */
const STATEMENTS_PER_SLOT = 2;
/**
 * The number of concurrent statements per slot that the owners near a member may
 * send together. More would fill the member's own queue, which knows no
 * priorities, and open connections for statements that wait there.
 */
const OWNERS_STATEMENTS_PER_SLOT = 4;
/** The share of a member's connections that all VMs together keep idle. */
const IDLE_CONNECTION_SHARE = 0.5;
/**
 * The share of a member's connections that the owners near it may open; the rest
 * is for VMs that reach no owner.
 */
const OWNERS_CONNECTION_SHARE = 0.75;
/** The shares of a member's warm-up rate, see `warmupShareOf`. */
const OWNERS_WARMUP_SHARE = 0.6;
/** A single owner takes the part of one of two: its successor may overlap. */
const MIN_OWNERS_FOR_WARMUP = 2;
const OTHERS_WARMUP_SHARE = 0.1;
/** The number of connections per member that stay free for control. */
const RESERVED_CONTROL_CONNECTIONS = 1;

/** Returns the part of a member's capacity that a VM may use. */
export function poolLimitsOf(
  listed: ListedMember,
  view: GroupView,
): MemberPoolLimits {
  const connections = Math.max(
    1,
    view.settings.connectionLimit - RESERVED_CONTROL_CONNECTIONS,
  );
  const statements = Math.max(1, listed.slots * STATEMENTS_PER_SLOT);
  const {owners, vmCount} = view;
  if (!owners) {
    return {connections, share: idleShareOf(connections, vmCount), statements};
  }
  const place = placeOf(listed, owners);
  const share = ownerIdleShareOf(connections, place);
  const part =
    place.kind === 'owner-nearby'
      ? OWNERS_CONNECTION_SHARE / place.owners
      : 1 - OWNERS_CONNECTION_SHARE;
  const usable = Math.max(1, Math.floor(connections * part));
  return {
    connections: usable,
    share,
    statements:
      place.kind === 'owner-nearby'
        ? Math.min(statements, ownerStatementsOf(listed, place.owners))
        : statements,
  };
}

/** The concurrent statements that one of the owners near a member may send. */
function ownerStatementsOf({slots}: ListedMember, owners: number): number {
  return Math.max(1, Math.ceil((slots * OWNERS_STATEMENTS_PER_SLOT) / owners));
}

/** What a VM is to a member whose group has owners. */
type OwnerPlace =
  /** One of the owners that serve the member's data centre. */
  | {readonly kind: 'owner-nearby'; readonly owners: number}
  /** One of the other owners. */
  | {readonly kind: 'owner-elsewhere'; readonly owners: number}
  | {readonly kind: 'other'};

function placeOf(
  {dataCentre}: ListedMember,
  {role, count, near}: OwnerShare,
): OwnerPlace {
  if (role === 'other') return {kind: 'other'};
  const nearby = near(dataCentre);
  return nearby.self === 'included'
    ? {kind: 'owner-nearby', owners: nearby.count}
    : {kind: 'owner-elsewhere', owners: count - nearby.count};
}

/**
 * Returns the number of idle connections that a VM keeps open where a group has
 * owners. Those near the member share the half of its connections that may be
 * idle; the others keep one if all of theirs are a quarter at most.
 */
function ownerIdleShareOf(connections: number, place: OwnerPlace): number {
  switch (place.kind) {
    case 'owner-nearby':
      return Math.max(
        1,
        Math.floor((connections * IDLE_CONNECTION_SHARE) / place.owners),
      );
    case 'owner-elsewhere':
      return place.owners <= connections / 4 ? 1 : 0;
    case 'other':
      return 0;
  }
}

/**
 * Returns this VM's part of the rate at which all VMs together may send
 * statements to a member that warms up. The parts of the owners near the member
 * leave so much that the sum stays below the rate while VMs differ about one of
 * the owners.
 */
export function warmupShareOf(
  listed: ListedMember,
  {owners, vmCount}: GroupView,
): number {
  if (!owners) return 1 / vmCount;
  const place = placeOf(listed, owners);
  return place.kind === 'owner-nearby'
    ? OWNERS_WARMUP_SHARE / Math.max(MIN_OWNERS_FOR_WARMUP, place.owners)
    : OTHERS_WARMUP_SHARE / vmCount;
}

/**
 * Returns the number of idle connections that a VM keeps open. All VMs together
 * leave half of a member's connections free, as the connections of a VM that
 * lost power stay open at the member for seconds. If a member has fewer
 * connections than there are VMs, none is kept, as the VMs would otherwise lock
 * each other out.
 */
function idleShareOf(connections: number, vmCount: number): number {
  if (vmCount > connections) return 0;
  return Math.max(
    1,
    Math.floor((connections * IDLE_CONNECTION_SHARE) / vmCount),
  );
}
