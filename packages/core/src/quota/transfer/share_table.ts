import {WHOLE_PPM} from '../quota_limits.js';

/** One VM's part of every rate. */
export interface ShareEntry {
  readonly ppm: number;
  /**
   * Store time at which the share was revoked because its VM was lost. The VM
   * may still spend it until its knowledge of the store has expired.
   */
  readonly revokedAt?: number;
  /**
   * Store time by which the revocation was certainly written. From then on the
   * VM learns of it with its next proof.
   */
  readonly lostBy?: number;
}

/** The shares of all VMs; their sum is at most the whole. */
export type ShareTable = Readonly<Record<string, ShareEntry>>;

/** Splits the whole equally among the VMs that are there at the first start. */
export function initialShares(vms: readonly string[]): ShareTable {
  const ppm = Math.floor(WHOLE_PPM / Math.max(1, vms.length));
  return Object.fromEntries([...vms].sort().map(vm => [vm, {ppm}]));
}

/** Whether the table still shows a revocation of which nobody can be sure. */
export function hasUnsureRevocation(table: ShareTable): boolean {
  return Object.values(table).some(
    entry => entry.revokedAt !== undefined && entry.lostBy === undefined,
  );
}

/** Whether a VM was declared lost and has not come back since. */
export function isRevoked(table: ShareTable, vm: string): boolean {
  return table[vm]?.revokedAt !== undefined;
}

/** Who is there and who is not, as one VM found. */
export interface ShareSituation {
  readonly present: readonly string[];
  readonly lost: readonly string[];
  /** The latest that the store's clock can show now. */
  readonly at: number;
  /** Whether no VM can act on what it knew before a revocation any more. */
  readonly isExpired: (lostBy: number) => boolean;
}

/**
 * Returns the table after its next change, or undefined when it stays. A lost
 * VM's share is revoked first, and goes to the others once its VM cannot spend
 * it any more. A VM that came back gets its revoked share again.
 */
export function nextShares(
  table: ShareTable,
  situation: ShareSituation,
): ShareTable | undefined {
  const kept = Object.entries(table).flatMap(([vm, entry]) =>
    keepEntry(vm, entry, situation),
  );
  const next = new Map(kept);
  for (const vm of situation.lost) {
    if (!next.has(vm) && !table[vm]) {
      next.set(vm, {ppm: 0, revokedAt: situation.at});
    }
  }
  spreadFree(next, situation.present);
  const result: ShareTable = Object.fromEntries(next);
  return sameTable(table, result) ? undefined : result;
}

function keepEntry(
  vm: string,
  entry: ShareEntry,
  {present, lost, at, isExpired}: ShareSituation,
): Array<readonly [string, ShareEntry]> {
  if (entry.revokedAt === undefined) {
    return [[vm, lost.includes(vm) ? {...entry, revokedAt: at} : entry]];
  }
  if (present.includes(vm)) return [[vm, {ppm: entry.ppm}]];
  if (entry.lostBy === undefined) return [[vm, {...entry, lostBy: at}]];
  return isExpired(entry.lostBy) ? [] : [[vm, entry]];
}

/** Gives what nobody holds to the VMs without a share, or else to all. */
function spreadFree(
  next: Map<string, ShareEntry>,
  present: readonly string[],
): void {
  const held = [...next.values()].reduce((sum, entry) => sum + entry.ppm, 0);
  const free = WHOLE_PPM - held;
  const least = Math.floor(WHOLE_PPM / Math.max(1, present.length) / 4);
  if (present.length === 0 || free < least) return;
  const poor = present.filter(vm => (next.get(vm)?.ppm ?? 0) === 0);
  const takers = poor.length > 0 ? poor : present;
  const each = Math.floor(free / takers.length);
  for (const vm of takers) {
    next.set(vm, {ppm: (next.get(vm)?.ppm ?? 0) + each});
  }
}

function sameTable(a: ShareTable, b: ShareTable): boolean {
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
