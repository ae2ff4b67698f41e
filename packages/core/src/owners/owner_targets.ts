import {rendezvousOrder} from '../common/rendezvous.js';
import type {OwnersByDataCentre} from './select_owners.js';

/** Where a VM runs a statement: at an owner, or on its own connections. */
export type OwnerTarget =
  | {readonly kind: 'owner'; readonly vm: string}
  | {readonly kind: 'direct'}
  /** Nowhere: direct connections would overload the members further. */
  | {readonly kind: 'busy'};

/** A statement for which a data centre and an owner are chosen. */
export interface OwnerQuery {
  readonly workspace: string;
  /** Regions whose members may run the statement; empty for all regions. */
  readonly regions: readonly string[];
  /** Whether only the primary may run it. */
  readonly need: 'primary' | 'recent';
}

/** What a VM knows of a group and of the owners of its connections. */
export interface OwnerPlaces {
  /** The data centre of the VM that decides. */
  readonly dataCentre: string;
  readonly regionOf: (dataCentre: string) => string;
  readonly owners: OwnersByDataCentre;
  /** The data centre of the primary, if it is known. */
  readonly primaryDataCentre: string | undefined;
  /** The data centres of the members that receive work. */
  readonly memberDataCentres: readonly string[];
}

/** Whether a VM may send an owner a new statement now. */
export type OwnerAvailability =
  | 'available'
  /** It is gone, cut off or stopping. */
  | 'avoided'
  /** It serves others and takes no more now. */
  | 'full';

/**
 * Returns where to run a statement, in order; the last one is no owner. The workspace's hash decides among the owners of the data centre, so that the
 * connections of a workspace are reused.
 */
export function ownerTargets(
  query: OwnerQuery,
  places: OwnerPlaces,
  self: string,
  availabilityOf: (vm: string) => OwnerAvailability,
): readonly OwnerTarget[] {
  const dataCentre = dataCentreFor(query, places);
  const owners = places.owners.get(dataCentre ?? '') ?? [];
  const ordered = rendezvousOrder(query.workspace, owners);
  return targetsAmong(ordered, self, availabilityOf);
}

/**
 * Returns the owners that take a statement, and what follows if none runs it:
 * the VM's own connections, unless an owner is there and full. Connections of
 * many VMs beside such owners would overload the members.
 */
export function targetsAmong(
  owners: readonly string[],
  self: string,
  availabilityOf: (vm: string) => OwnerAvailability,
): readonly OwnerTarget[] {
  const targets: OwnerTarget[] = [];
  let last: OwnerTarget = {kind: 'direct'};
  for (const vm of owners) {
    if (vm === self) return [...targets, {kind: 'direct'}];
    const availability = availabilityOf(vm);
    if (availability === 'available') targets.push({kind: 'owner', vm});
    if (availability === 'full') last = {kind: 'busy'};
  }
  return [...targets, last];
}

/**
 * Statements for the primary go to its data centre, where they meet in one queue
 * and connections open fast. Other reads stay in the data centre of the caller
 * or go to the nearest one with a member.
 */
function dataCentreFor(
  query: OwnerQuery,
  places: OwnerPlaces,
): string | undefined {
  const {regionOf, dataCentre, owners, primaryDataCentre} = places;
  const {regions} = query;
  const isAllowed = (name: string): boolean =>
    regions.length === 0 || regions.includes(regionOf(name));
  const of =
    query.need === 'primary' && primaryDataCentre !== undefined
      ? primaryDataCentre
      : nearestOf(
          dataCentre,
          places.memberDataCentres.filter(isAllowed),
          regionOf,
        );
  const chosen =
    of === undefined ? undefined : ownerDataCentreOf(of, owners, regionOf);
  const isPermitted =
    chosen !== undefined &&
    (isAllowed(chosen) || regionOf(chosen) === regionOf(dataCentre));
  return isPermitted ? chosen : undefined;
}

/**
 * Returns the data centre whose owners serve the members of a data centre: the
 * same one, or one nearby if it has no VMs.
 */
export function ownerDataCentreOf(
  dataCentre: string,
  owners: OwnersByDataCentre,
  regionOf: (dataCentre: string) => string,
): string | undefined {
  return owners.has(dataCentre)
    ? dataCentre
    : nearestOf(dataCentre, [...owners.keys()], regionOf);
}

/** The same data centre, or else one that its hash selects, near ones first. */
function nearestOf(
  dataCentre: string,
  candidates: readonly string[],
  regionOf: (dataCentre: string) => string,
): string | undefined {
  if (candidates.includes(dataCentre)) return dataCentre;
  const near = candidates.filter(
    name => regionOf(name) === regionOf(dataCentre),
  );
  return rendezvousOrder(dataCentre, near.length > 0 ? near : candidates)[0];
}
