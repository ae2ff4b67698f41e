import {MAX_VMS_WITHOUT_SELECTION} from '../common/representatives.js';
import {weightedRendezvousOrder} from '../common/rendezvous.js';

/**
 * The number of VMs per data centre that own a group's connections. With 2, one
 * would carry a data centre alone while the other restarts.
 */
const OWNERS_PER_DATA_CENTRE = 4;
/** With fewer connections per VM than this, a VM can keep none idle. */
const MIN_CONNECTIONS_PER_VM = 2;

/** The owners of a group by data centre, in the order of their hashes. */
export type OwnersByDataCentre = ReadonlyMap<string, readonly string[]>;

/**
 * Returns whether a few VMs own a group's connections: a large fleet whose
 * members accept fewer than two connections from each VM.
 */
export function hasOwners(connectionLimit: number, vmCount: number): boolean {
  return (
    vmCount > MAX_VMS_WITHOUT_SELECTION &&
    connectionLimit / vmCount < MIN_CONNECTIONS_PER_VM
  );
}

/** A VM that may be an owner. */
export interface OwnerVm {
  readonly dataCentre: string;
  /** Its part of a processor, as compared with the other VMs. */
  readonly weight: number;
}

/**
 * Chooses the VMs of each data centre that own a group's connections, those with
 * more processors more often.
 */
export function selectOwners(
  group: string,
  vms: ReadonlyMap<string, OwnerVm>,
): OwnersByDataCentre {
  const owners = new Map<string, string[]>();
  const weights = new Map([...vms].map(([vm, {weight}]) => [vm, weight]));
  for (const vm of weightedRendezvousOrder(`owner/${group}`, weights)) {
    const dataCentre = vms.get(vm)?.dataCentre ?? '';
    const chosen = owners.get(dataCentre) ?? [];
    if (chosen.length < OWNERS_PER_DATA_CENTRE) chosen.push(vm);
    owners.set(dataCentre, chosen);
  }
  return owners;
}
