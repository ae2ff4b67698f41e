import type {Random} from '@pistachiorill/core';
import type {GroupView} from '../database/database_message.js';
import type {MemberConnection} from '../database/member_connection.js';
import {MemberTable} from '../database/member_table.js';
import {OverloadRefusals} from '../database/overload_refusals.js';
import type {ListedMember} from '../ports/member_directory.js';
import {OverloadRetries} from '../session/overload_retries.js';

/** The decisions of one VM in a simulation. */
export interface SimulatedVm {
  readonly table: MemberTable;
  readonly retries: OverloadRetries;
  readonly refusals: OverloadRefusals;
}

/** Creates a VM that knows no members yet. */
export function newVm(random: Random): SimulatedVm {
  return {
    table: newTable(),
    retries: new OverloadRetries(random, undefined),
    refusals: new OverloadRefusals({random}),
  };
}

function newTable(): MemberTable {
  return new MemberTable({
    vm: {dataCentre: 'macon', region: 'ga'},
    regionOf: () => 'ga',
    open: () => {
      const connection = {
        state: 'clean',
        values: new Map(),
        tell: () => undefined,
      };
      return connection as unknown as MemberConnection;
    },
  });
}

/** Returns a group with these members, without limits that it would reach. */
export function viewOf(members: readonly ListedMember[]): GroupView {
  const settings = {
    name: 'wash',
    connectionLimit: 50,
    synchronousReplicas: 0,
    warmupPerSecond: 0,
  };
  return {settings, members, dataCentresOut: new Set<string>(), vmCount: 1};
}
