import {selectWatchers} from './select_watchers.js';

/**
 * Returns the VMs whose observations decide whether a primary is replaced: all
 * VMs of a small fleet, and the watchers of all data centres of a large one. A
 * VM without a recent answer of the primary asks for its status, which takes a
 * connection and a slot; hundreds of VMs would stop an overloaded primary.
 */
export function selectObservers(
  dataCentreByVm: ReadonlyMap<string, string>,
): readonly string[] {
  const watchers = [...new Set(dataCentreByVm.values())].flatMap(dataCentre =>
    selectWatchers(dataCentreByVm, dataCentre),
  );
  return watchers.length > 0 ? watchers : [...dataCentreByVm.keys()];
}
