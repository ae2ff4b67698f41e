import {rendezvousOrder} from './rendezvous.js';

/** In a fleet of up to this many VMs, every VM is a representative. */
export const MAX_VMS_WITHOUT_SELECTION = 12;
/** The number of representatives in a larger fleet. */
const REPRESENTATIVE_COUNT = 8;

/**
 * Returns the VMs that perform a task on behalf of the whole fleet: all VMs of
 * a small fleet, and a few of a large one. These are selected by a key, so that
 * the tasks of different keys spread over the fleet.
 */
export function selectRepresentatives(
  key: string,
  vms: readonly string[],
): readonly string[] {
  if (vms.length <= MAX_VMS_WITHOUT_SELECTION) return vms;
  return rendezvousOrder(key, vms).slice(0, REPRESENTATIVE_COUNT);
}
