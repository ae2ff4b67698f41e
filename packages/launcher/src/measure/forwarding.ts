/**
 * Compares the latency and throughput of statements through VMs that own the
 * connections to a group and through VMs that forward. The default of the
 * routing mode rests on these figures.
 */
import {fileURLToPath} from 'node:url';
import {groupOwners} from '@pistachiorill/core';
import type {RoutingMode} from '@pistachiorill/core';
import {createConnection} from 'mysql2/promise';
import {Fleet} from '../fleet.js';
import type {RunningVm} from '../fleet.js';
import {AUTHORITY_PROFILE} from '../profile.js';

const BUILD_FOLDER = fileURLToPath(new URL('.', import.meta.url));
const ROUNDS = Number(process.argv[2] ?? 3);
const WARM_UP_MS = 500;
const CASE_MS = 2_000;

type Access = 'read' | 'write';

interface Case {
  readonly mode: RoutingMode;
  readonly via: string;
  readonly access: Access;
  readonly connections: number;
  readonly vms: readonly RunningVm[];
  readonly database: string;
}

interface Measurement {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly perSecond: number;
  readonly errors: number;
}

let nextId = 1;

function statementFor(access: Access): string {
  return access === 'read'
    ? "/*route='lookup'*/ SELECT lot FROM batch WHERE id = 0"
    : `/*route='release'*/ INSERT INTO batch VALUES (${nextId++}, 'A7')`;
}

function connect(vm: RunningVm, database: string) {
  const [workspace] = AUTHORITY_PROFILE.workspaces;
  return createConnection({
    host: '127.0.0.1',
    port: vm.clientPort,
    user: workspace?.name ?? '',
    password: workspace?.key ?? '',
    database,
  });
}

async function measure(item: Case): Promise<Measurement> {
  const latencies: number[] = [];
  let errors = 0;
  const start = performance.now() + WARM_UP_MS;
  const end = start + CASE_MS;
  await Promise.all(
    Array.from({length: item.connections}, async (unused, index) => {
      const vm = item.vms[index % item.vms.length] as RunningVm;
      const connection = await connect(vm, item.database);
      for (;;) {
        const sentAt = performance.now();
        if (sentAt > end) break;
        try {
          await connection.query(statementFor(item.access));
          if (sentAt >= start) latencies.push(performance.now() - sentAt);
        } catch {
          errors++;
        }
      }
      await connection.end();
    }),
  );
  latencies.sort((a, b) => a - b);
  const at = (share: number): number =>
    latencies[Math.floor(latencies.length * share)] ?? NaN;
  return {
    p50Ms: at(0.5),
    p99Ms: at(0.99),
    perSecond: (latencies.length * 1_000) / CASE_MS,
    errors,
  };
}

async function createCases(mode: RoutingMode, fleet: Fleet): Promise<Case[]> {
  const database = `${AUTHORITY_PROFILE.service}-1`;
  const owners = groupOwners(
    {database, connectionLimit: AUTHORITY_PROFILE.connectionLimit},
    mode,
    fleet.vms.map(vm => ({vm: vm.name, dataCentre: vm.dataCentre})),
  );
  const isOwner = (vm: RunningVm): boolean =>
    owners.some(owner => owner.vm === vm.name);
  const owner = fleet.vms.find(isOwner) as RunningVm;
  const forwarder = fleet.vms.find(vm => !isOwner(vm));
  const paths: Array<readonly [string, readonly RunningVm[]]> = [
    [mode === 'direct' ? 'one VM' : 'the owner', [owner]],
    ...(forwarder ? [['a forwarder', [forwarder]] as const] : []),
    ['all VMs', fleet.vms],
  ];
  return paths.flatMap(([via, vms]) =>
    (['read', 'write'] as const).flatMap(access =>
      (vms.length > 1 ? [24] : [1, 8]).map(connections => ({
        mode,
        via,
        access,
        connections,
        vms,
        database,
      })),
    ),
  );
}

async function measureFleet(
  mode: RoutingMode,
  results: Map<string, Measurement[]>,
): Promise<void> {
  const fleet = new Fleet(AUTHORITY_PROFILE, BUILD_FOLDER, mode);
  await fleet.start();
  try {
    const [first] = fleet.vms;
    const setup = await connect(
      first as RunningVm,
      `${AUTHORITY_PROFILE.service}-1`,
    );
    await setup.query('CREATE TABLE batch (id INTEGER PRIMARY KEY, lot TEXT)');
    await setup.query("/*route='release'*/ INSERT INTO batch VALUES (0, 'A7')");
    await setup.end();
    // The VMs need time to discover each other and to open their connections.
    await new Promise(resolve => setTimeout(resolve, 4_000));
    for (const item of await createCases(mode, fleet)) {
      const key = `${mode} | ${item.via} | ${item.access} | ${item.connections}`;
      const figures = await measure(item);
      results.set(key, [...(results.get(key) ?? []), figures]);
    }
  } finally {
    await fleet.stop();
  }
}

function median(values: readonly number[]): string {
  const sorted = [...values].sort((a, b) => a - b);
  return (sorted[Math.floor(sorted.length / 2)] ?? NaN).toFixed(2);
}

const results = new Map<string, Measurement[]>();
for (let round = 0; round < ROUNDS; round++) {
  await measureFleet('direct', results);
  await measureFleet('owners', results);
}
console.log(`Medians of ${ROUNDS} rounds of ${CASE_MS} ms`);
console.log(
  '| mode | through | access | connections | p50 ms | p99 ms | statements/s | errors |',
);
console.log('|---|---|---|---|---|---|---|---|');
for (const [key, figures] of results) {
  const column = (name: keyof Measurement): string =>
    median(figures.map(item => item[name]));
  console.log(
    `| ${key} | ${column('p50Ms')} | ${column('p99Ms')} | ${column('perSecond')} | ${column('errors')} |`,
  );
}
