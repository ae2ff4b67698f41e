import {rendezvousOrder} from '../common/rendezvous.js';

/** The number of VMs per data centre that own the connections to a group. */
export const OWNERS_PER_DATA_CENTRE = 1;

/** Whether all VMs connect to a group's members, or only its owners. */
export type RoutingMode = 'direct' | 'owners';

/** A VM that may be an owner of a group's connections. */
export interface OwnerCandidate {
  readonly vm: string;
  readonly dataCentre: string;
}

/** A group and the number of connections that its members accept. */
export interface GroupConnectionLimit {
  readonly database: string;
  /** The lowest connection limit among the members. */
  readonly connectionLimit: number;
}

/**
 * Chooses the VMs that connect to the members of a group. In `owners` mode these
 * are a fixed number per data centre, in `direct` mode all VMs or as many as the
 * connection limit allows.
 */
export function groupOwners(
  group: GroupConnectionLimit,
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
 * Returns the number of data connections that each owner may open to a member.
 * Each owner also has one control connection, and one connection is reserved for
 * a VM that takes over polling.
 */
export function connectionAllowance(
  connectionLimit: number,
  owners: number,
): number {
  if (owners === 0) return 0;
  return Math.max(0, Math.floor((connectionLimit - owners - 1) / owners));
}

/** Returns the largest number of owners with an allowance of at least one. */
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
