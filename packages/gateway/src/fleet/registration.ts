import {isRevoked} from '@pistachiorill/core';
import type {RowTransaction} from '@pistachiorill/store';
import {SHARES_KEY, vmKey} from './fleet_rows.js';
import type {FleetRows, VmRegistration} from './fleet_rows.js';
import type {FleetView} from './fleet_view.js';

/** A VM's name and the registration of its present process. */
export interface RegisteredProcess {
  readonly vm: string;
  readonly entry: VmRegistration;
}

/** Returns the store's version of a process's registration, if it is known. */
export function registeredAt(
  {vm, entry}: RegisteredProcess,
  rows: FleetRows,
): number | undefined {
  const own = rows.vms.get(vm);
  return own?.value.incarnation === entry.incarnation ? own.version : undefined;
}

/**
 * A VM counts as joined once it has all rows up to its own registration. It then
 * has every primary change whose coordinator could not yet see that this VM is
 * registered. `version` is that of its copy of the rows.
 */
export function joinedState(
  {vm, entry}: RegisteredProcess,
  rows: FleetRows,
  version: number,
): FleetView['joined'] {
  const ownVersion = registeredAt({vm, entry}, rows);
  const isKnown = ownVersion !== undefined && ownVersion <= version;
  const revoked = rows.shares && isRevoked(rows.shares.value, vm);
  return isKnown && !revoked ? 'joined' : 'not-joined';
}

/**
 * Returns the transaction that registers a process, if it is needed. A revoked
 * share that was not given to other VMs yet is taken back.
 */
export function registrationOf(
  {vm, entry}: RegisteredProcess,
  {vms, shares}: FleetRows,
): RowTransaction | undefined {
  const revoked = shares && isRevoked(shares.value, vm) ? shares : undefined;
  const own = vms.get(vm)?.value;
  if (own?.incarnation === entry.incarnation && !revoked) return undefined;
  const puts = new Map([[vmKey(vm), JSON.stringify(entry)]]);
  if (!revoked) return {expected: new Map(), puts};
  const ppm = revoked.value[vm]?.ppm ?? 0;
  puts.set(SHARES_KEY, JSON.stringify({...revoked.value, [vm]: {ppm}}));
  return {expected: new Map([[SHARES_KEY, revoked.version]]), puts};
}
