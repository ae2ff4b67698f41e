import {rendezvousOrder} from './rendezvous.js';

/** In fleets up to this size every VM does what is asked. */
const WHOLE_FLEET_LIMIT = 12;
/** VMs that do it for all in a larger fleet. */
const REPRESENTATIVE_COUNT = 8;

/**
 * The VMs that do something for the whole fleet: all of a small one, and a few
 * of a large one, chosen by a key so that keys spread over the fleet.
 */
export function representativesOf(
  key: string,
  vms: readonly string[],
): readonly string[] {
  if (vms.length <= WHOLE_FLEET_LIMIT) return vms;
  return rendezvousOrder(key, vms).slice(0, REPRESENTATIVE_COUNT);
}
