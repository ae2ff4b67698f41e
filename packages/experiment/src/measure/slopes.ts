/**
 * Measures how the CPU time and memory of an idle VM grow with the numbers of
 * client connections, groups and VMs. The capacity page uses these slopes.
 */
import {createConnection} from 'mysql2/promise';
import type {Connection} from 'mysql2/promise';
import {fileURLToPath} from 'node:url';
import {AUTHORITY_PROFILE, Fleet} from '@pistachiorill/launcher';
import type {Profile} from '@pistachiorill/launcher';
import {textTable} from '../report/text_table.js';
import {readVmResources} from './vm_resources.js';

const BUILD_FOLDER = fileURLToPath(new URL('.', import.meta.url));
const SETTLE_MS = 3_000;
const WINDOW_MS = 8_000;
const CONNECTION_COUNTS = [0, 500, 1_000, 2_000];
const GROUP_COUNTS = [1, 4, 8];
const VM_COUNTS = [3, 6, 12];
const CONNECT_BATCH_SIZE = 50;
const MEGABYTE = 1_048_576;

const SMALL_PROFILE: Profile = {
  ...AUTHORITY_PROFILE,
  databaseCount: 1,
  vmCount: 3,
};

/** The mean CPU share and memory of a fleet's VMs without statements. */
interface IdleCost {
  readonly cpuPercent: number;
  readonly residentMegabytes: number;
}

console.log('idle client connections on one VM');
console.log(textTable(await measureConnections()));
console.log('\ngroups, 3 VMs, each owner of all');
console.log(textTable(await measureProfiles(GROUP_COUNTS, profileWithGroups)));
console.log('\nVMs, 1 group');
console.log(textTable(await measureProfiles(VM_COUNTS, profileWithVms)));

function profileWithGroups(databaseCount: number): Profile {
  return {...SMALL_PROFILE, databaseCount};
}

function profileWithVms(vmCount: number): Profile {
  return {...SMALL_PROFILE, vmCount};
}

async function measureConnections(): Promise<string[][]> {
  const fleet = new Fleet(SMALL_PROFILE, BUILD_FOLDER);
  const open: Connection[] = [];
  const rows = [['connections', 'CPU % of a core', 'resident MB']];
  try {
    await fleet.start();
    for (const count of CONNECTION_COUNTS) {
      while (open.length < count) {
        open.push(...(await connectSome(fleet, count - open.length)));
      }
      rows.push(row(count, await idleCost(fleet, 1)));
    }
  } finally {
    for (const connection of open) connection.destroy();
    await fleet.stop();
  }
  return rows;
}

async function measureProfiles(
  counts: readonly number[],
  profileOf: (count: number) => Profile,
): Promise<string[][]> {
  const rows = [['count', 'CPU % of a core', 'resident MB']];
  for (const count of counts) {
    const fleet = new Fleet(profileOf(count), BUILD_FOLDER);
    try {
      await fleet.start();
      rows.push(row(count, await idleCost(fleet, fleet.vms.length)));
    } finally {
      await fleet.stop();
    }
  }
  return rows;
}

/** Measures the first `vmCount` VMs of a fleet without statements. */
async function idleCost(fleet: Fleet, vmCount: number): Promise<IdleCost> {
  await sleep(SETTLE_MS);
  const ports = fleet.vms.slice(0, vmCount).map(vm => vm.httpPort);
  const before = await Promise.all(ports.map(readVmResources));
  await sleep(WINDOW_MS);
  const after = await Promise.all(ports.map(readVmResources));
  const cpuSeconds =
    sum(after.map(item => item.cpuSeconds)) -
    sum(before.map(item => item.cpuSeconds));
  return {
    cpuPercent: (100_000 * cpuSeconds) / (WINDOW_MS * vmCount),
    residentMegabytes:
      sum(after.map(item => item.residentBytes)) / (vmCount * MEGABYTE),
  };
}

async function connectSome(fleet: Fleet, wanted: number) {
  const [workspace] = fleet.profile.workspaces;
  const count = Math.min(wanted, CONNECT_BATCH_SIZE);
  return Promise.all(
    Array.from({length: count}, () =>
      createConnection({
        host: '127.0.0.1',
        port: fleet.vms[0]?.clientPort ?? 0,
        user: workspace?.name ?? '',
        password: workspace?.key ?? '',
        database: fleet.profile.service,
      }),
    ),
  );
}

function row(count: number, cost: IdleCost): string[] {
  return [
    String(count),
    cost.cpuPercent.toFixed(2),
    cost.residentMegabytes.toFixed(1),
  ];
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
