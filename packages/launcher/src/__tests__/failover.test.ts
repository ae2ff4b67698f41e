import {createConnection} from 'mysql2/promise';
import type {Connection} from 'mysql2/promise';
import {fileURLToPath} from 'node:url';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Fleet} from '../fleet.js';
import {AUTHORITY_PROFILE} from '../profile.js';
import {Writers} from './writers.js';

const BUILD_FOLDER = fileURLToPath(
  new URL('../../../../build', import.meta.url),
);
const DATABASE = 'wash-ledger-1';
const WAIT_MS = 12_000;
/** Longer than the suspicion time, the rank delay and the detection together. */
const PARTITION_MS = 3_500;

describe('failover over separate processes', () => {
  const fleet = new Fleet(
    {...AUTHORITY_PROFILE, vmCount: 3, databaseCount: 1},
    BUILD_FOLDER,
    'owners',
    'members',
  );

  beforeAll(async () => {
    await fleet.start();
    const [connection] = await connectAll();
    await connection?.query('CREATE TABLE batch (id INTEGER PRIMARY KEY)');
    await connection?.end();
  });
  afterAll(async () => {
    await fleet.stop();
  });

  function connectAll(): Promise<Connection[]> {
    const [workspace] = fleet.profile.workspaces;
    return Promise.all(
      fleet.vms.map(({clientPort: port}) =>
        createConnection({
          host: '127.0.0.1',
          port,
          user: workspace?.name ?? '',
          password: workspace?.key ?? '',
          database: fleet.profile.service,
        }),
      ),
    );
  }

  async function waitUntil(
    what: string,
    check: () => boolean | Promise<boolean>,
  ): Promise<void> {
    const limit = Date.now() + WAIT_MS;
    while (!(await check())) {
      if (Date.now() > limit) throw new Error(`${what} did not happen`);
      await new Promise(resolve => setTimeout(resolve, 20));
    }
  }

  /**
   * Disturbs the primary during writes, waits for a failover, restores the
   * former primary and compares its rows with those of the new one.
   */
  async function failOver(
    disturb: (primary: string) => void | Promise<void>,
    restore: (primary: string) => void | Promise<void>,
  ) {
    const former = (await fleet.primaryOf(DATABASE)) ?? '';
    const termBefore = (await fleet.stateOf(former))?.term ?? 0;
    const connections = await connectAll();
    const writers = new Writers(connections);
    await waitUntil('the first writes', () => writers.acknowledged.length > 10);
    const disturbedAt = Date.now();
    await disturb(former);
    const hasServedAfter = (index: number): boolean =>
      writers.acknowledged.filter(item => item.sentAt > disturbedAt).length >
      index;
    await waitUntil('writes after the failover', () => hasServedAfter(20));
    const resumedAt = writers.acknowledged.find(
      item => item.at > disturbedAt + 200,
    )?.at;
    console.log(`failover gap ${(resumedAt ?? 0) - disturbedAt} ms`);
    await restore(former);
    await waitUntil(
      'the rejoin',
      async () => (await fleet.primaryOf(DATABASE)) !== undefined,
    );
    await writers.stop();
    const primary = await fleet.primaryOf(DATABASE);
    const rows = await readRows(connections[0]);
    const rejoined = await rowsOf(former, rows);
    await Promise.all(connections.map(connection => connection.end()));
    return {
      replaced: primary !== former,
      rejoinedAs: (await fleet.stateOf(former))?.role,
      newTerm: ((await fleet.stateOf(former))?.term ?? 0) > termBefore,
      lost: writers.acknowledged.filter(({id}) => !rows.has(id)).length,
      divergent: [...rejoined].filter(id => !rows.has(id)).length,
      missing: [...rows].filter(id => !rejoined.has(id)).length,
    };
  }

  async function readRows(
    connection: Connection | undefined,
  ): Promise<Set<number>> {
    const [rows] = (await connection?.query('SELECT id FROM batch')) ?? [];
    return new Set((rows as Array<{id: number}>).map(row => row.id));
  }

  /** Reads the rows of a member directly once it has the expected number. */
  async function rowsOf(
    member: string,
    expected: ReadonlySet<number>,
  ): Promise<Set<number>> {
    const [host, port] = (fleet.addresses.get(member) ?? '').split(':');
    const login = {user: 'proxy', password: 'proxy-password'};
    const direct = await createConnection({host, port: Number(port), ...login});
    let rows = new Set<number>();
    await waitUntil('the replication', async () => {
      rows = await readRows(direct);
      return rows.size >= expected.size;
    });
    await direct.end();
    return rows;
  }

  // Guards against a failover when only one data centre is partitioned from
  // the primary.
  it('keeps a primary that one data centre cannot reach', async () => {
    const primary = (await fleet.primaryOf(DATABASE)) ?? '';
    const before = await fleet.stateOf(primary);
    const connections = await connectAll();
    await fleet.cutConnections(primary, [fleet.vms[0]?.name ?? '']);
    const writers = new Writers(connections.slice(1));
    await new Promise(resolve => setTimeout(resolve, PARTITION_MS));
    await writers.stop();
    await fleet.cutConnections(primary, []);
    const after = await fleet.stateOf(primary);
    const healed = new Writers(connections.slice(0, 1));
    await waitUntil(
      'a write after the cut',
      () => healed.acknowledged.length > 0,
    );
    await healed.stop();
    await Promise.all(connections.map(connection => connection.end()));
    expect({
      role: after?.role,
      newTerm: after?.term !== before?.term,
      failures: writers.failures,
    }).toMatchSnapshot();
  });

  // Guards against a lost acknowledged write and against a group that remains
  // without a primary.
  it('replaces a killed primary, which rejoins as a replica', async () => {
    const outcome = await failOver(
      primary => fleet.members.get(primary)?.kill(),
      primary => fleet.restartMember(primary),
    );
    expect(outcome).toMatchSnapshot();
  });

  // Guards against an acknowledgement by a primary that was replaced while it
  // was paused, and against such a primary that is not made a replica.
  it('replaces a paused primary, which acknowledges no later write', async () => {
    const outcome = await failOver(
      primary => fleet.members.get(primary)?.signal('SIGSTOP'),
      primary => fleet.members.get(primary)?.signal('SIGCONT'),
    );
    expect(outcome).toMatchSnapshot();
  });

  // Guards against a switchover that interrupts a write, and against a leaving
  // backend server that remains the primary.
  it('switches the primary away from a leaving backend server', async () => {
    const former = (await fleet.primaryOf(DATABASE)) ?? '';
    const connections = await connectAll();
    const writers = new Writers(connections);
    await waitUntil('the first writes', () => writers.acknowledged.length > 10);
    await fleet.promote({leavingServers: [former]});
    await waitUntil('the switchover', async () => {
      const primary = await fleet.primaryOf(DATABASE);
      return primary !== undefined && primary !== former;
    });
    const switchedAt = Date.now();
    await waitUntil('writes after the switchover', () =>
      writers.acknowledged.some(item => item.sentAt > switchedAt),
    );
    await writers.stop();
    const times = writers.acknowledged.map(item => item.at);
    const gaps = times.map((at, index) => at - (times[index - 1] ?? at));
    console.log(`switchover gap ${Math.max(...gaps)} ms`);
    const rows = await readRows(connections[0]);
    await Promise.all(connections.map(connection => connection.end()));
    expect({
      failures: writers.failures,
      lost: writers.acknowledged.filter(({id}) => !rows.has(id)).length,
    }).toMatchSnapshot();
  });
});
