import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {BackendConnection, SqlGroupControl} from '@pistachiorill/mysql';
import {afterAll, expect, it} from 'vitest';
import {DEFAULT_MEMBER_CONFIG} from '../member_config.js';
import {MemberServer} from '../member_server.js';

const WAIT_MS = 5_000;

interface RunningMember {
  readonly address: string;
  readonly server: MemberServer;
  readonly control: SqlGroupControl;
}

const root = mkdtempSync(join(tmpdir(), 'rejoin-'));
const running: RunningMember[] = [];
afterAll(() => {
  for (const {server, control} of running) {
    control.close();
    server.close();
  }
  rmSync(root, {recursive: true, force: true});
});

async function start(name: string): Promise<RunningMember> {
  const {port, server} = await MemberServer.start({
    ...DEFAULT_MEMBER_CONFIG,
    connectDelayMs: 0,
    name,
    address: '127.0.0.1:0',
    dataFolder: join(root, name),
  });
  const address = `127.0.0.1:${port}`;
  const login = {user: 'control', password: 'control-password'};
  const control = new SqlGroupControl(address, login, WAIT_MS);
  const member = {address, server, control};
  running.push(member);
  return member;
}

async function query(address: string, sql: string): Promise<string> {
  const login = {user: 'proxy', password: 'proxy-password'};
  const opened = await BackendConnection.open(address, login, WAIT_MS);
  if (!opened.ok) return opened.err.kind;
  const result = await opened.value.query(sql, WAIT_MS);
  opened.value.close();
  if (!result.ok) return result.err.kind;
  return result.value.kind === 'rows'
    ? result.value.rows.map(row => String(row[0])).join(',')
    : 'done';
}

async function untilAppliedTo(
  member: RunningMember,
  term: number,
): Promise<void> {
  const until = Date.now() + WAIT_MS;
  for (;;) {
    const state = await member.control.state();
    if (state.ok && state.value.applied.term === term) return;
    if (Date.now() > until) throw new Error('the member did not catch up');
    await new Promise(resolve => setTimeout(resolve, 5));
  }
}

// Guards against a former primary that keeps entries which no other member
// received, so that two members return different rows for the same read.
it('drops unacknowledged entries of a former primary that rejoins', async () => {
  const first = await start('first');
  const second = await start('second');
  await first.control.fence(1, 'a');
  await first.control.promote(1, 'a');
  await second.control.follow(1, first.address);
  await query(first.address, 'CREATE TABLE lot (id INTEGER PRIMARY KEY)');
  await query(first.address, 'INSERT INTO lot VALUES (1)');
  await untilAppliedTo(second, 1);
  const shared = await query(second.address, 'SELECT id FROM lot');

  await second.control.fence(2, 'b');
  await query(first.address, 'INSERT INTO lot VALUES (2)');
  await second.control.promote(2, 'b');
  await query(second.address, 'INSERT INTO lot VALUES (3)');
  first.server.close();
  const again = await start('first');
  const diverged = await query(again.address, 'SELECT id FROM lot');
  await again.control.follow(2, second.address);
  await untilAppliedTo(again, 2);

  expect({
    shared,
    diverged,
    rejoined: await query(again.address, 'SELECT id FROM lot'),
    primary: await query(second.address, 'SELECT id FROM lot'),
    write: await query(again.address, 'INSERT INTO lot VALUES (4)'),
  }).toMatchSnapshot();
});
