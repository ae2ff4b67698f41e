import {FULL_SHARE_PPM} from '../quota_limits.js';

/** One VM's share of the rates of all workspaces. */
export interface ShareEntry {
  readonly ppm: number;
  /**
   * Store time at which the share was revoked because its VM was lost. The VM
   * may still spend it until its last proof of being current has expired.
   */
  readonly revokedAt?: number;
  /**
   * Store time by which the revocation was certainly written. Any later proof of
   * the VM includes the revocation.
   */
  readonly lostBy?: number;
}

/** The shares of all VMs by name. Their sum is at most 100 %. */
export type ShareTable = Readonly<Record<string, ShareEntry>>;

/** Splits all rates evenly among the VMs present at the first start. */
export function initialShares(vms: readonly string[]): ShareTable {
  const ppm = Math.floor(FULL_SHARE_PPM / Math.max(1, vms.length));
  return Object.fromEntries([...vms].sort().map(vm => [vm, {ppm}]));
}

/** Whether a revocation has no confirmed write time. */
export function hasUnconfirmedRevocation(table: ShareTable): boolean {
  return Object.values(table).some(
    entry => entry.revokedAt !== undefined && entry.lostBy === undefined,
  );
}

/** Whether a VM was declared lost and has not returned. */
export function isRevoked(table: ShareTable, vm: string): boolean {
  return table[vm]?.revokedAt !== undefined;
}

/** Which VMs are present and which are lost, as observed by one VM. */
export interface FleetObservation {
  /** The VMs that have just answered. */
  readonly answering: readonly string[];
  /** The VMs that are registered and not found lost. */
  readonly present: readonly string[];
  readonly lost: readonly string[];
  /** The upper bound of the present store time. */
  readonly at: number;
  /** Whether every proof from before a revocation has expired. */
  readonly isExpired: (lostBy: number) => boolean;
}

/**
 * Returns the table after its next change, or undefined if nothing changes. The
 * share of a lost VM is revoked first, and distributed to the others once the
 * lost VM can no longer spend it. A VM that returns regains its revoked share once
 * it answers: a process that has just started has not found anyone lost yet.
 */
export function nextShares(
  table: ShareTable,
  observation: FleetObservation,
): ShareTable | undefined {
  const kept = Object.entries(table).flatMap(([vm, entry]) =>
    nextEntries(vm, entry, observation),
  );
  const next = new Map(kept);
  for (const vm of observation.lost) {
    if (!next.has(vm) && !table[vm]) {
      next.set(vm, {ppm: 0, revokedAt: observation.at});
    }
  }
  const {answering} = observation;
  const recipients = observation.present.filter(
    vm => answering.includes(vm) || !isRevoked(table, vm),
  );
  distributeFreeShare(next, recipients);
  const result: ShareTable = Object.fromEntries(next);
  return areTablesEqual(table, result) ? undefined : result;
}

/** Returns the next state of an entry; none if its share is free. */
function nextEntries(
  vm: string,
  entry: ShareEntry,
  {answering, lost, at, isExpired}: FleetObservation,
): Array<readonly [string, ShareEntry]> {
  if (entry.revokedAt === undefined) {
    return [[vm, lost.includes(vm) ? {...entry, revokedAt: at} : entry]];
  }
  if (answering.includes(vm)) return [[vm, {ppm: entry.ppm}]];
  if (entry.lostBy === undefined) return [[vm, {...entry, lostBy: at}]];
  return isExpired(entry.lostBy) ? [] : [[vm, entry]];
}

/**
 * Distributes the free share among the VMs without a share, or among all if each
 * has one. An amount below a quarter of an even share is kept back.
 */
function distributeFreeShare(
  next: Map<string, ShareEntry>,
  present: readonly string[],
): void {
  const held = [...next.values()].reduce((sum, entry) => sum + entry.ppm, 0);
  const free = FULL_SHARE_PPM - held;
  const minDistributedPpm = Math.floor(
    FULL_SHARE_PPM / Math.max(1, present.length) / 4,
  );
  if (present.length === 0 || free < minDistributedPpm) return;
  const withoutShare = present.filter(vm => (next.get(vm)?.ppm ?? 0) === 0);
  const recipients = withoutShare.length > 0 ? withoutShare : present;
  const ppmPerRecipient = Math.floor(free / recipients.length);
  for (const vm of recipients) {
    next.set(vm, {ppm: (next.get(vm)?.ppm ?? 0) + ppmPerRecipient});
  }
}

function areTablesEqual(a: ShareTable, b: ShareTable): boolean {
  const names = Object.keys(a);
  return (
    names.length === Object.keys(b).length &&
    names.every(
      vm =>
        a[vm]?.ppm === b[vm]?.ppm &&
        a[vm]?.revokedAt === b[vm]?.revokedAt &&
        a[vm]?.lostBy === b[vm]?.lostBy,
    )
  );
}
