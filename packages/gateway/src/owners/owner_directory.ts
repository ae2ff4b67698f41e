import {
  hasOwners,
  isRevoked,
  ownerDataCentreOf,
  ownerTargets,
  selectOwners,
} from '@pistachiorill/core';
import type {
  OwnerAvailability,
  OwnerTarget,
  OwnerVm,
  OwnersByDataCentre,
} from '@pistachiorill/core';
import type {OwnerShare} from '../database/database_message.js';
import type {FleetRows} from '../fleet/fleet_rows.js';
import type {ListedMember} from '../ports/member_directory.js';
import {requirementOf} from '../session/place_filter.js';
import type {RoutedStatement} from '../session/session_statement.js';

/** What the choice of owners depends on. */
export interface OwnerDirectoryDependencies {
  readonly vm: {readonly name: string; readonly dataCentre: string};
  readonly regionOf: (dataCentre: string) => string;
  readonly rows: () => FleetRows;
  /** The connections that each member of a group accepts, if it is known. */
  readonly connectionLimit: (group: string) => number | undefined;
  readonly members: (group: string) => readonly ListedMember[];
  readonly isOutOfService: (member: ListedMember) => boolean;
}

/** The owners of the groups, as they follow from the shared rows. */
export class OwnerDirectory {
  private rows: FleetRows | undefined;
  private known: ReadonlyMap<string, OwnerVm> = new Map();
  private readonly selected = new Map<string, OwnersByDataCentre>();

  constructor(private readonly deps: OwnerDirectoryDependencies) {}

  /**
   * The VMs that may be owners; the same object as long as they stay the same. A VM that is presumed lost is none of them.
   */
  get candidates(): ReadonlyMap<string, OwnerVm> {
    const rows = this.deps.rows();
    if (rows === this.rows) return this.known;
    this.rows = rows;
    const shares = rows.shares?.value;
    const current = new Map<string, OwnerVm>();
    for (const [vm, {value}] of rows.vms) {
      if (shares && isRevoked(shares, vm)) continue;
      const {dataCentre, processors} = value;
      current.set(vm, {dataCentre, weight: processors ?? 1});
    }
    if (isSame(current, this.known)) return this.known;
    this.known = current;
    this.selected.clear();
    return current;
  }

  /** The owners of a group; none if every VM uses its own connections. */
  ownersOf(group: string): OwnersByDataCentre | undefined {
    const limit = this.deps.connectionLimit(group);
    const {candidates} = this;
    const vmCount = this.deps.rows().vms.size;
    if (limit === undefined || !hasOwners(limit, vmCount)) return undefined;
    const owners = this.selected.get(group) ?? selectOwners(group, candidates);
    this.selected.set(group, owners);
    return owners;
  }

  /** How the owners of a group share the connections of its members. */
  shareOf(group: string): OwnerShare | undefined {
    const owners = this.ownersOf(group);
    if (!owners) return undefined;
    const {vm, regionOf} = this.deps;
    const all = [...owners.values()].flat();
    return {
      role: all.includes(vm.name) ? 'owner' : 'other',
      count: all.length,
      near: dataCentre => {
        const near = ownerDataCentreOf(dataCentre, owners, regionOf);
        const names = owners.get(near ?? '') ?? [];
        return {
          count: names.length,
          self: names.includes(vm.name) ? 'included' : 'not-included',
        };
      },
    };
  }

  /** Returns where to run a statement, in order. */
  targets(
    statement: RoutedStatement,
    availabilityOf: (vm: string) => OwnerAvailability,
  ): readonly OwnerTarget[] {
    const {group} = statement.route;
    const owners = this.ownersOf(group);
    if (!owners) return [{kind: 'direct'}];
    const {vm, regionOf, members, isOutOfService, rows} = this.deps;
    const listed = members(group);
    const record = rows().leadership.get(group)?.record;
    const primary = record?.phase === 'moving' ? record.from : record?.primary;
    const {workspace, regions} = statement;
    return ownerTargets(
      {workspace, regions, need: requirementOf(statement).kind},
      {
        dataCentre: vm.dataCentre,
        regionOf,
        owners,
        primaryDataCentre: listed.find(item => item.member === primary)
          ?.dataCentre,
        memberDataCentres: listed
          .filter(item => item.state === 'ready' && !isOutOfService(item))
          .map(item => item.dataCentre),
      },
      vm.name,
      availabilityOf,
    );
  }
}

function isSame(
  a: ReadonlyMap<string, OwnerVm>,
  b: ReadonlyMap<string, OwnerVm>,
): boolean {
  return (
    a.size === b.size &&
    [...a].every(([vm, {dataCentre, weight}]) => {
      const other = b.get(vm);
      return other?.dataCentre === dataCentre && other.weight === weight;
    })
  );
}
