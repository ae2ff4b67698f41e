import {createConnection} from 'mysql2/promise';
import type {Connection} from 'mysql2/promise';
import {
  AUTHORITY_PROFILE,
  Fleet,
  databaseNames,
  memberName,
} from '@pistachiorill/launcher';
import type {Profile} from '@pistachiorill/launcher';
import {runClosedLoop} from './closed_loop.js';
import type {LoopResult} from './closed_loop.js';

const ROUND_MS = 1_500;
const WARM_UP_MS = 500;
/** Direct and proxied rounds alternate, so that both have the same conditions. */
const ROUNDS = 3;
const CONCURRENCY = [1, 16];
/** Higher than any rate that the loops reach. */
const UNLIMITED_RATE = 1_000_000;

const PROFILE: Profile = {
  ...AUTHORITY_PROFILE,
  // With one replica, all stale reads go to the same member.
  dataCentres: AUTHORITY_PROFILE.dataCentres.slice(0, 2),
  databaseCount: 1,
  vmCount: 1,
  connectionLimit: 100,
  // More slots than callers, so that waiting for a slot at the member does not
  // hide the cost of the path.
  slots: 64,
  workspaces: AUTHORITY_PROFILE.workspaces.slice(0, 1).map(item => ({
    ...item,
    rate: UNLIMITED_RATE,
    burst: UNLIMITED_RATE,
  })),
};

type StatementKind = 'stale-read' | 'strict-read' | 'write';

const STATEMENTS: ReadonlyArray<{
  readonly kind: StatementKind;
  readonly comment: string;
  readonly sql: string;
  readonly member: 'primary' | 'replica';
}> = [
  {
    kind: 'stale-read',
    comment: "/*route='lookup'*/ ",
    sql: 'SELECT body FROM cost_row WHERE id = 1',
    member: 'replica',
  },
  {
    kind: 'strict-read',
    comment: "/*route='invoice'*/ ",
    sql: 'SELECT body FROM cost_row WHERE id = 1',
    member: 'primary',
  },
  {
    kind: 'write',
    comment: "/*route='release'*/ ",
    sql: 'UPDATE cost_row SET body = 2 WHERE id = 1',
    member: 'primary',
  },
];

/** The cost of a kind of statement through a VM and directly at the member. */
export interface PathCost {
  readonly kind: StatementKind;
  readonly concurrency: number;
  readonly direct: LoopResult;
  readonly proxied: LoopResult;
  /** CPU time of the VM for each statement, averaged over all proxied rounds. */
  readonly vmCpuUs: number;
}

/** Measures the overhead of a path through one VM over a direct connection. */
export async function measurePath(
  buildFolder: string,
  vmNodeOptions: readonly string[],
): Promise<PathCost[]> {
  const fleet = new Fleet({...PROFILE, vmNodeOptions}, buildFolder);
  try {
    await fleet.start();
    const setup = await openProxied(fleet);
    await setup.query(
      'CREATE TABLE cost_row (id INTEGER PRIMARY KEY, body INTEGER)',
    );
    await setup.query('INSERT INTO cost_row VALUES (1, 1)');
    setup.destroy();
    const costs: PathCost[] = [];
    for (const concurrency of CONCURRENCY) {
      costs.push(...(await measureAt(fleet, concurrency)));
    }
    // Node.js writes the CPU profile only when the process exits by itself, not
    // when it is killed.
    await Promise.all(fleet.vms.map(vm => vm.child.stop()));
    return costs;
  } finally {
    await fleet.stop();
  }
}

async function measureAt(
  fleet: Fleet,
  concurrency: number,
): Promise<PathCost[]> {
  const costs: PathCost[] = [];
  for (const {kind, comment, sql, member} of STATEMENTS) {
    const direct = await openAll(concurrency, () => openDirect(fleet, member));
    const proxied = await openAll(concurrency, () => openProxied(fleet));
    const loop = (
      connections: Connection[],
      text: string,
      durationMs: number,
    ) =>
      runClosedLoop(
        connections.map(connection => () => connection.query(text)),
        durationMs,
      );
    await loop(direct, sql, WARM_UP_MS);
    await loop(proxied, comment + sql, WARM_UP_MS);
    const rounds = [];
    let cpuSeconds = 0;
    let statements = 0;
    for (let round = 0; round < ROUNDS; round += 1) {
      const directRound = await loop(direct, sql, ROUND_MS);
      const before = await vmCpuSeconds(fleet);
      const proxiedRound = await loop(proxied, comment + sql, ROUND_MS);
      cpuSeconds += (await vmCpuSeconds(fleet)) - before;
      statements += proxiedRound.statements;
      rounds.push({direct: directRound, proxied: proxiedRound});
    }
    for (const connection of [...direct, ...proxied]) connection.destroy();
    costs.push({
      kind,
      concurrency,
      direct: medianRound(rounds.map(round => round.direct)),
      proxied: medianRound(rounds.map(round => round.proxied)),
      vmCpuUs: Math.round((cpuSeconds * 1e6) / statements),
    });
  }
  return costs;
}

async function vmCpuSeconds(fleet: Fleet): Promise<number> {
  const res = await fetch(
    `http://127.0.0.1:${fleet.vms[0]?.httpPort ?? 0}/metrics`,
  );
  const match = /^pistachiorill_process_cpu_seconds (\S+)$/m.exec(
    await res.text(),
  );
  return Number(match?.[1]);
}

/** Returns the round with the median throughput. */
function medianRound(results: readonly LoopResult[]): LoopResult {
  const sorted = [...results].sort(
    (a, b) => a.statementsPerSecond - b.statementsPerSecond,
  );
  return sorted[Math.floor(sorted.length / 2)] as LoopResult;
}

function openAll(
  count: number,
  open: () => Promise<Connection>,
): Promise<Connection[]> {
  return Promise.all(Array.from({length: count}, open));
}

function openProxied(fleet: Fleet): Promise<Connection> {
  const [workspace] = fleet.profile.workspaces;
  return createConnection({
    host: '127.0.0.1',
    port: fleet.vms[0]?.clientPort ?? 0,
    user: workspace?.name ?? '',
    password: workspace?.key ?? '',
    database: fleet.profile.service,
  });
}

function openDirect(
  fleet: Fleet,
  member: 'primary' | 'replica',
): Promise<Connection> {
  const [database = ''] = databaseNames(fleet.profile);
  const dataCentre = fleet.profile.dataCentres[member === 'primary' ? 0 : 1];
  const name = memberName(database, dataCentre ?? '');
  const [host = '', port] = (fleet.addresses.get(name) ?? '').split(':');
  return createConnection({
    host,
    port: Number(port),
    user: 'proxy',
    password: 'proxy-password',
  });
}
