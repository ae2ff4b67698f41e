import {rendezvousOrder} from '../common/rendezvous.js';
import {MAX_VMS_WITHOUT_SELECTION} from '../common/representatives.js';

/** The number of VMs of a data centre that watch the store for the others. */
const WATCHERS_PER_DATA_CENTRE = 2;

/**
 * Returns the VMs that watch the store for all VMs of a data centre; none in a
 * small fleet, where every VM watches it. Changes then cost the store a number
 * of calls that does not grow with the fleet.
 */
export function selectWatchers(
  dataCentreByVm: ReadonlyMap<string, string>,
  dataCentre: string,
): readonly string[] {
  if (dataCentreByVm.size <= MAX_VMS_WITHOUT_SELECTION) return [];
  const vms = [...dataCentreByVm]
    .filter(([, itsDataCentre]) => itsDataCentre === dataCentre)
    .map(([vm]) => vm);
  return rendezvousOrder(`watch/${dataCentre}`, vms).slice(
    0,
    WATCHERS_PER_DATA_CENTRE,
  );
}
