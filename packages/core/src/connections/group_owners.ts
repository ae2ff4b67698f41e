import {rendezvousOrder} from '../common/rendezvous.js';

/** How many VMs of each data centre own the connections to a group. */
export const OWNERS_PER_DATA_CENTRE = 1;

/** Whether all VMs connect to the members or only some for each group. */
export type RoutingMode = 'direct' | 'owners';

/** A VM that may own connections. */
export interface OwnerCandidate {
  readonly vm: string;
  readonly dataCentre: string;
}

/** What the connections to one group are divided by. */
export interface GroupSize {
  readonly database: string;
  /** The lowest connection limit among the members. */
  readonly connectionLimit: number;
}

/** Chooses the VMs that connect to the members of a group. */
export function groupOwners(
  group: GroupSize,
  mode: RoutingMode,
  vms: readonly OwnerCandidate[],
): OwnerCandidate[] {
  const byName = new Map(vms.map(vm => [vm.vm, vm]));
  const ordered = rendezvousOrder(group.database, [...byName.keys()]).flatMap(
    name => byName.get(name) ?? [],
  );
  if (mode === 'owners') return firstOfEachDataCentre(ordered);
  return connectionAllowance(group.connectionLimit, ordered.length) >= 1
    ? ordered
    : ordered.slice(0, maxOwners(group.connectionLimit));
}

/**
 * The number of data connections that each owner may open to a member. Each
 * owner has one control connection, and one is kept free for a VM that takes
 * over the polling.
 */
export function connectionAllowance(
  connectionLimit: number,
  owners: number,
): number {
  if (owners === 0) return 0;
  return Math.max(0, Math.floor((connectionLimit - owners - 1) / owners));
}

/** The greatest number of owners that leaves each an allowance of one. */
function maxOwners(connectionLimit: number): number {
  return Math.max(0, Math.floor((connectionLimit - 1) / 2));
}

function firstOfEachDataCentre(
  ordered: readonly OwnerCandidate[],
): OwnerCandidate[] {
  const counts = new Map<string, number>();
  return ordered.filter(({dataCentre}) => {
    const count = counts.get(dataCentre) ?? 0;
    counts.set(dataCentre, count + 1);
    return count < OWNERS_PER_DATA_CENTRE;
  });
}
