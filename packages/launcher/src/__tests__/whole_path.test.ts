import {createConnection} from 'mysql2/promise';
import type {Connection} from 'mysql2/promise';
import {connect as connectSocket} from 'node:net';
import {fileURLToPath} from 'node:url';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Fleet} from '../fleet.js';
import {AUTHORITY_PROFILE} from '../profile.js';

const BUILD_FOLDER = fileURLToPath(
  new URL('../../../../build', import.meta.url),
);

const fleet = new Fleet(
  {...AUTHORITY_PROFILE, vmCount: 3, databaseCount: 1},
  BUILD_FOLDER,
);

interface Login {
  readonly workspace?: number;
  readonly password?: string;
  readonly database?: string;
}

function connect(vm: number, login: Login = {}): Promise<Connection> {
  const workspace = fleet.profile.workspaces[login.workspace ?? 0];
  return createConnection({
    host: '127.0.0.1',
    port: fleet.vms[vm]?.clientPort ?? 0,
    user: workspace?.name ?? '',
    password: login.password ?? workspace?.key ?? '',
    database: login.database ?? fleet.profile.service,
  });
}

async function resultOf(call: Promise<unknown>): Promise<unknown> {
  try {
    const [result] = (await call) as [unknown];
    return result;
  } catch (err) {
    const {errno, sqlState, message} = err as {
      errno: number;
      sqlState: string;
      message: string;
    };
    return {errno, sqlState, message};
  }
}

describe('whole path over separate processes', () => {
  beforeAll(async () => {
    await fleet.start();
    const admin = await connect(0);
    await admin.query('CREATE TABLE batch (id INTEGER PRIMARY KEY, lot TEXT)');
    await admin.end();
  });
  afterAll(() => fleet.stop());

  // Guards against a read through another VM that does not return the
  // session's own write.
  it('reads its own write through another VM', async () => {
    const writer = await connect(0);
    await writer.query(
      "/*route='release'*/ INSERT INTO batch VALUES (1, 'A7')",
    );
    const [tokens] = await writer.query('SELECT @@pistachiorill_session');
    const token = Object.values((tokens as object[])[0] ?? {})[0] as string;
    const reader = await connect(1);
    const rows = await resultOf(
      reader.query(
        `/*route='lookup',session='${token}'*/ SELECT lot FROM batch`,
      ),
    );
    expect(rows).toMatchSnapshot();
    await writer.end();
    await reader.end();
  });

  // Guards against a request that is executed twice when it is resent through
  // another VM, and against an id that is reused for another statement.
  it('executes a request id at most once', async () => {
    const first = await connect(0);
    const second = await connect(1);
    const release = (lot: string): string =>
      `/*route='release',request_id='r-2'*/ INSERT INTO batch VALUES (2, '${lot}')`;
    const results = [
      await resultOf(first.query(release('B1'))),
      await resultOf(second.query(release('B1'))),
      await resultOf(second.query(release('B2'))),
      await resultOf(first.query('SELECT lot FROM batch WHERE id = 2')),
    ];
    expect(results).toMatchSnapshot();
    await first.end();
    await second.end();
  });

  // Guards against a transaction whose changes another caller can read or
  // whose connection it shares.
  it('isolates the transactions of different callers', async () => {
    const one = await connect(0);
    const two = await connect(0, {workspace: 1});
    await one.query('BEGIN');
    await one.query("INSERT INTO batch VALUES (3, 'open')");
    const results = {
      inside: await resultOf(one.query('SELECT lot FROM batch WHERE id = 3')),
      outside: await resultOf(two.query('SELECT lot FROM batch WHERE id = 3')),
      rollback: await resultOf(one.query('ROLLBACK')),
      after: await resultOf(one.query('SELECT lot FROM batch WHERE id = 3')),
    };
    expect(results).toMatchSnapshot();
    await one.end();
    await two.end();
  });

  // Guards against invalid input that gets an unclear error or affects other
  // statements.
  it('refuses invalid input with a clear error', async () => {
    const caller = await connect(2);
    const anonymous = await connect(2, {password: ''});
    const results = {
      key: await resultOf(connect(2, {password: 'wrong'})),
      database: await resultOf(
        connect(2, {database: 'nothing'}).then(c => c.query('SELECT 1')),
      ),
      route: await resultOf(caller.query("/*route='none'*/ SELECT 1")),
      options: await resultOf(caller.query("/*sesion='t'*/ SELECT 1")),
      prepared: await resultOf(caller.execute('SELECT ?', [1])),
      syntax: await resultOf(caller.query('SELECT FROM WHERE')),
      large: await resultOf(caller.query(`SELECT '${'x'.repeat(1_100_000)}'`)),
      open: await resultOf(
        anonymous.query("/*route='public'*/ SELECT 1 AS one"),
      ),
      keyed: await resultOf(anonymous.query('SELECT 1')),
      afterwards: await resultOf(caller.query('SELECT 1 AS one')),
    };
    expect(results).toMatchSnapshot();
    await caller.end();
    await anonymous.end();
  });

  // Guards against a malformed stream that stops the VM or affects another
  // caller.
  it('survives malformed and half-open connections', async () => {
    const port = fleet.vms[2]?.clientPort ?? 0;
    const silent = connectSocket(port, '127.0.0.1');
    const garbage = connectSocket(port, '127.0.0.1');
    const closed = new Promise(resolve => garbage.once('close', resolve));
    garbage.on('error', () => undefined);
    garbage.resume();
    garbage.end(Buffer.alloc(64, 0xff));
    await closed;
    const caller = await connect(2);
    expect(await resultOf(caller.query('SELECT 1 AS one'))).toMatchSnapshot();
    await caller.end();
    silent.destroy();
  });

  // Guards against a transaction that outlives the VM of its caller.
  it('rolls back the transaction of a VM that dies', async () => {
    const caller = await connect(1);
    caller.on('error', () => undefined);
    await caller.query('BEGIN');
    await caller.query("INSERT INTO batch VALUES (9, 'lost')");
    await fleet.vms[1]?.child.kill();
    const other = await connect(0);
    const results = {
      insert: await resultOf(
        other.query("INSERT INTO batch VALUES (9, 'kept')"),
      ),
      rows: await resultOf(other.query('SELECT lot FROM batch WHERE id = 9')),
    };
    expect(results).toMatchSnapshot();
    await other.end();
  });
});
