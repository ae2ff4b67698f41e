import {createConnection} from 'mysql2/promise';
import type {Connection} from 'mysql2/promise';
import {fileURLToPath} from 'node:url';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Fleet} from '../fleet.js';
import type {RunningVm} from '../fleet.js';
import {AUTHORITY_PROFILE} from '../profile.js';
import {Writers} from './writers.js';

const BUILD_FOLDER = fileURLToPath(
  new URL('../../../../build', import.meta.url),
);
const DATABASE = 'wash-ledger-1';
const WAIT_MS = 15_000;
/** Longer than PROOF_VALIDITY_MS, so that confirmations and loans expire. */
const PAUSE_MS = 7_000;
/** The maximum age of the route `lookup`, 2,000 ms, and a margin. */
const LOOKUP_AGE_MS = 2_200;
/** Row ids that `Writers` does not use. */
const MARKER_ID = 1_000_001;
const RESUMED_WRITE_ID = 1_000_002;
const STRICT_READ = "/*route='invoice'*/ SELECT id FROM batch";
const AGED_READ = "/*route='lookup'*/ SELECT id FROM batch";

type Outcome =
  | {readonly kind: 'answered'; readonly ids: ReadonlySet<number>}
  | {readonly kind: 'not run' | 'outcome unknown' | 'other'};

async function outcomeOf(
  connection: Connection,
  sql: string,
): Promise<Outcome> {
  try {
    const [rows] = await connection.query(sql);
    const list = Array.isArray(rows) ? (rows as Array<{id: number}>) : [];
    return {kind: 'answered', ids: new Set(list.map(row => row.id))};
  } catch (err) {
    const text = err instanceof Error ? err.message : '';
    const kinds = ['not run', 'outcome unknown'] as const;
    return {kind: kinds.find(kind => text.startsWith(`${kind}:`)) ?? 'other'};
  }
}

/** Sends statements of one workspace and counts the admitted ones. */
class StatementLoad {
  private admitted = 0;
  private state: 'running' | 'stopped' = 'running';
  private readonly startedAt = performance.now();
  private readonly loops: Array<Promise<void>>;

  constructor(connections: readonly Connection[]) {
    this.loops = connections.map(connection => this.loop(connection));
  }

  /** Stops and returns how many statements exceeded the workspace's limits. */
  async excess(rate: number, burst: number): Promise<number> {
    this.state = 'stopped';
    await Promise.all(this.loops);
    const seconds = (performance.now() - this.startedAt) / 1_000;
    console.log(`admitted ${this.admitted} in ${seconds.toFixed(1)} s`);
    return Math.max(0, this.admitted - burst - rate * seconds);
  }

  private async loop(connection: Connection): Promise<void> {
    while (this.state === 'running') {
      const {kind} = await outcomeOf(connection, AGED_READ);
      if (kind === 'answered') this.admitted += 1;
      else await new Promise(resolve => setTimeout(resolve, 20));
    }
  }
}

describe('failover while other parts fail', () => {
  const fleet = new Fleet(
    {...AUTHORITY_PROFILE, vmCount: 3, databaseCount: 1},
    BUILD_FOLDER,
    'owners',
    'members',
  );
  const connections: Connection[] = [];

  beforeAll(async () => {
    await fleet.start();
    const [vm] = fleet.vms;
    const connection = await connect(vm);
    await connection.query('CREATE TABLE batch (id INTEGER PRIMARY KEY)');
  });
  afterAll(async () => {
    for (const connection of connections) connection.destroy();
    await fleet.stop();
  });

  async function connect(
    vm: RunningVm | undefined,
    workspace = fleet.profile.workspaces[0],
  ): Promise<Connection> {
    const connection = await createConnection({
      host: '127.0.0.1',
      port: vm?.clientPort ?? 0,
      user: workspace?.name ?? '',
      password: workspace?.key ?? '',
      database: fleet.profile.service,
    });
    // A killed VM also closes idle connections, which raises this event.
    connection.on('error', () => undefined);
    connections.push(connection);
    return connection;
  }

  async function waitUntil(
    what: string,
    check: () => boolean | Promise<boolean>,
    intervalMs = 20,
  ): Promise<void> {
    const limit = Date.now() + WAIT_MS;
    while (!(await check())) {
      if (Date.now() > limit) throw new Error(`${what} did not happen`);
      await new Promise(resolve => setTimeout(resolve, intervalMs));
    }
  }

  function countAttempts(vm: RunningVm, event: 'started' | 'ended'): number {
    return vm.child.log.split(`failover.${event}`).length - 1;
  }

  /** Waits until more than 20 writes sent after `since` are acknowledged. */
  async function waitUntilServed(
    writers: Writers,
    since: number,
  ): Promise<void> {
    await waitUntil(
      'writes after the failover',
      () =>
        writers.acknowledged.filter(item => item.sentAt > since).length > 20,
    );
  }

  async function lostRows(
    writers: Writers,
    connection: Connection,
  ): Promise<number> {
    const read = await outcomeOf(connection, STRICT_READ);
    if (read.kind !== 'answered') throw new Error(`the read was ${read.kind}`);
    return writers.acknowledged.filter(({id}) => !read.ids.has(id)).length;
  }

  /** Waits until all members are in the primary's term. */
  async function waitUntilAllFollow(): Promise<void> {
    await waitUntil(
      'the rejoin',
      async () => (await fleet.primaryOf(DATABASE)) !== undefined,
    );
  }

  // Guards against a failover that depends on the table service.
  it('replaces a killed primary while the platform is down', async () => {
    const former = (await fleet.primaryOf(DATABASE)) ?? '';
    const reader = await connect(fleet.vms[0]);
    const writers = new Writers(
      await Promise.all(fleet.vms.map(vm => connect(vm))),
    );
    await waitUntil('the first writes', () => writers.acknowledged.length > 10);
    await fleet.setPlatformFault('outage');
    const killedAt = Date.now();
    await fleet.members.get(former)?.kill();
    await waitUntilServed(writers, killedAt);
    await fleet.setPlatformFault('none');
    await fleet.restartMember(former);
    await waitUntilAllFollow();
    await writers.stop();
    expect({
      replaced: (await fleet.primaryOf(DATABASE)) !== former,
      lost: await lostRows(writers, reader),
    }).toMatchSnapshot();
  });

  // Guards against an attempt that remains unfinished when its VM dies. The
  // slow platform keeps the attempt in its first step long enough to kill it.
  it('completes an attempt whose VM is killed', async () => {
    const former = (await fleet.primaryOf(DATABASE)) ?? '';
    const before = new Map(
      fleet.vms.map(vm => [vm.name, countAttempts(vm, 'started')]),
    );
    const loops = new Map<string, Writers>();
    for (const vm of fleet.vms) {
      loops.set(vm.name, new Writers([await connect(vm)]));
    }
    await waitUntil('the first writes', () =>
      [...loops.values()].every(item => item.acknowledged.length > 3),
    );
    await fleet.setPlatformFault('slow');
    await fleet.members.get(former)?.kill();
    let attemptVm: RunningVm | undefined;
    await waitUntil(
      'an attempt',
      () => {
        attemptVm = fleet.vms.find(
          vm => countAttempts(vm, 'started') > (before.get(vm.name) ?? 0),
        );
        return attemptVm !== undefined;
      },
      2,
    );
    await attemptVm?.child.kill();
    const killedAt = Date.now();
    const unfinished =
      attemptVm &&
      countAttempts(attemptVm, 'started') > countAttempts(attemptVm, 'ended');
    const others = fleet.vms.filter(vm => vm !== attemptVm);
    for (const vm of others) {
      await waitUntilServed(loops.get(vm.name) as Writers, killedAt);
    }
    await fleet.setPlatformFault('none');
    await fleet.restartMember(former);
    await waitUntilAllFollow();
    await Promise.all([...loops.values()].map(item => item.stop()));
    const reader = await connect(others[0]);
    const lost = await Promise.all(
      [...loops.values()].map(item => lostRows(item, reader)),
    );
    await fleet.restartVm(attemptVm?.name ?? '');
    expect({
      unfinished,
      replaced: (await fleet.primaryOf(DATABASE)) !== former,
      lost,
    }).toMatchSnapshot();
  });

  // Guards against a resumed VM that responds on the basis of the view, the
  // confirmation and the loans from before its pause. The replaced primary is
  // still reachable from the paused VM, and only from it, and lacks the rows
  // written during the pause.
  it('returns no stale response through a VM that was paused', async () => {
    const workspace = fleet.profile.workspaces[7];
    const former = (await fleet.primaryOf(DATABASE)) ?? '';
    const [paused, ...others] = fleet.vms;
    const [strict, aged, writing] = await Promise.all([
      connect(paused),
      connect(paused),
      connect(paused),
    ]);
    const elsewhere = await connect(others[0]);
    const warmUp = [strict, aged, writing, elsewhere].map(connection =>
      outcomeOf(connection, STRICT_READ),
    );
    const warm = (await Promise.all(warmUp)).map(({kind}) => kind);
    const load = new StatementLoad(
      await Promise.all(
        [...fleet.vms, ...fleet.vms, ...fleet.vms].map(vm =>
          connect(vm, workspace),
        ),
      ),
    );
    // Leaves time for loans between the VMs.
    await new Promise(resolve => setTimeout(resolve, 1_000));
    paused?.child.signal('SIGSTOP');
    const pausedAt = Date.now();
    await fleet.cutConnections(
      former,
      others.map(vm => vm.name),
    );
    await waitUntil('a write on the new primary', async () => {
      const sql = `INSERT INTO batch VALUES (${MARKER_ID})`;
      return (await outcomeOf(elsewhere, sql)).kind === 'answered';
    });
    const resumeAt = Math.max(pausedAt + PAUSE_MS, Date.now() + LOOKUP_AGE_MS);
    // The socket buffers hold these statements, so the VM reads them first
    // after the pause.
    const first = [
      outcomeOf(strict, STRICT_READ),
      outcomeOf(aged, AGED_READ),
      outcomeOf(writing, `INSERT INTO batch VALUES (${RESUMED_WRITE_ID})`),
    ];
    await new Promise(resolve => setTimeout(resolve, resumeAt - Date.now()));
    const formerRole = (await fleet.stateOf(former))?.role;
    paused?.child.signal('SIGCONT');
    const [strictRead, agedRead, write] = await Promise.all(first);
    const reads = [strictRead, agedRead];
    await waitUntil('a response through the VM that was paused', async () => {
      const read = await outcomeOf(strict, STRICT_READ);
      reads.push(read);
      return read.kind === 'answered';
    });
    await fleet.cutConnections(former, []);
    await waitUntilAllFollow();
    const excess = await load.excess(
      workspace?.rate ?? 0,
      workspace?.burst ?? 0,
    );
    const end = await outcomeOf(elsewhere, STRICT_READ);
    const hasWritten = end.kind === 'answered' && end.ids.has(RESUMED_WRITE_ID);
    const kinds = [...reads, write].map(item => item?.kind).join(', ');
    console.log(`after the pause: ${kinds}`);
    expect({
      warm,
      formerRole,
      stale: reads.filter(
        item => item?.kind === 'answered' && !item.ids.has(MARKER_ID),
      ).length,
      failed: reads.filter(
        item => item?.kind !== 'answered' && item?.kind !== 'not run',
      ).length,
      falseAnswer:
        write?.kind === 'outcome unknown'
          ? false
          : (write?.kind === 'answered') !== hasWritten,
      excess,
    }).toMatchSnapshot();
  });
});
