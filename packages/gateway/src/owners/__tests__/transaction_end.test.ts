import {afterEach, describe, expect, it, vi} from 'vitest';
import {fail} from '@pistachiorill/core';
import {ask, sleep} from '@pistachiorill/tasks';
import type {MemberTransaction} from '../../session/member_transaction.js';
import {SESSION_CONFIGURATION} from '../../testing/fake_session.js';
import {FakeOwner, FakeOwnerClient} from '../../testing/fake_owner.js';
import {silentLogger} from '../../testing/fake_group.js';
import {GatewayMetrics} from '../../telemetry/gateway_metrics.js';
import type {ExecuteRequest, ForwardAnswer} from '../forward_schema.js';
import {ForwardedTransaction} from '../forwarded_transaction.js';
import {HeldTransaction} from '../held_transaction.js';
import {OwnerCalls} from '../owner_calls.js';

let owner: FakeOwner | undefined;

afterEach(() => {
  owner?.group.close();
  vi.useRealTimers();
});

const ROUTE = SESSION_CONFIGURATION.routes.get('wash-db');
const WORK = {
  command: {kind: 'statement' as const, text: 'WRITE x y'},
  access: 'write' as const,
  values: [],
  remainingMs: 400,
};
const FIRST: ExecuteRequest = {
  ...WORK,
  id: 'q1',
  database: 'wash-db',
  key: 'k1',
  workspace: 'growers',
  caller: 'keyed',
  regions: [],
  begin: 'write',
  position: {kind: 'none'},
  route: {...(ROUTE as ExecuteRequest['route'])},
  transaction: {id: 't1', vm: 'vm-1', incarnation: 'i1'},
};

/** An owner with an open transaction, and the caller's side of it. */
async function begin(transactionIdleMs: number) {
  const x = new FakeOwner(() => ({
    ...SESSION_CONFIGURATION,
    transactionIdleMs,
  }));
  owner = x;
  const clock = (): number => performance.now();
  const client = new FakeOwnerClient(new Map([['x', x]]));
  const log = silentLogger();
  const metrics = new GatewayMetrics();
  const calls = new OwnerCalls({client, clock, log, metrics});
  const transaction = new ForwardedTransaction(
    {
      owner: 'x',
      transaction: 't1',
      request: 'q1',
      workspace: 'growers',
      group: 'g',
      statementTimeoutMs: 400,
    },
    {calls, client, clock},
  );
  await ask<ForwardAnswer>(reply =>
    x.task.tell({kind: 'execute', req: FIRST, reply}),
  );
  return {x, transaction};
}

describe('transactions at an owner', () => {
  // Guards against a transaction whose commit was never sent, and which keeps
  // its connection and its locks at the owner for the idle time.
  it('are rolled back when the commit was not sent', async () => {
    const {x, transaction} = await begin(3_000);
    x.mode = 'unreachable';
    const committed = transaction.run({
      id: 'q2',
      command: {kind: 'commit'},
      access: 'commit',
      values: new Map(),
      deadline: performance.now() + 400,
    });
    // The connection of the call did not open in time; the next one does.
    x.mode = 'answers';
    expect((await committed).ok).toBe(false);
    await sleep(30);
    expect(x.task.isBusy).toBe(false);
  });

  // Guards against a transaction that is rolled back as idle although its next
  // statement had begun.
  it('are kept when the idle time ends behind the next statement', async () => {
    const {x} = await begin(3_000);
    const step = (number: number, command: 'statement' | 'commit') =>
      ask<ForwardAnswer>(reply =>
        x.task.tell({
          kind: 'execute-in',
          req: {
            ...WORK,
            id: `q${number}`,
            command: command === 'commit' ? {kind: 'commit'} : WORK.command,
            access: command === 'commit' ? 'commit' : 'write',
            transaction: 't1',
            step: number,
          },
          reply,
        }),
      );
    const running = step(2, 'statement');
    x.task.tell({kind: 'idle', transaction: 't1'});
    expect((await running).kind).toBe('done');
    expect(await step(3, 'commit')).toMatchObject({kind: 'done'});
  });

  // Guards against a transaction that is held for ever where idle ones have no
  // time limit, and no call that ends it arrives.
  it('are rolled back after a time of the owner', async () => {
    vi.useFakeTimers({toFake: ['setTimeout', 'clearTimeout']});
    const {x} = await begin(0);
    await vi.advanceTimersByTimeAsync(59_000);
    const before = x.task.isBusy;
    await vi.advanceTimersByTimeAsync(2_000);
    expect([before, x.task.isBusy]).toEqual([true, false]);
  });

  // Guards against locks that are held for a minute as one call was lost.
  it('are rolled back by a repeated call', async () => {
    const {x, transaction} = await begin(0);
    x.mode = 'loses-calls';
    await transaction.rollback();
    x.mode = 'answers';
    await sleep(700);
    expect(x.task.isBusy).toBe(false);
  });

  // Guards against a commit that is cut off by the call that ends its transaction;
  // other statements are, as nothing waits for them.
  it.each([
    ['commit', []],
    ['write', ['abandon']],
  ] as const)('let a running commit finish: %s', async (access, expected) => {
    const seen: string[] = [];
    const transaction = {
      run: () => sleep(10).then(() => fail({kind: 'aborted', detail: ''})),
      abandon: () => seen.push('abandon'),
    } as unknown as MemberTransaction;
    const caller = {id: 't1', vm: 'vm-1', incarnation: 'i1'};
    const nothing = (): void => undefined;
    const held = new HeldTransaction(caller, new Map(), nothing, nothing);
    await held.opened(transaction, 0);
    const {command} = WORK;
    const statement = {id: 'q2', command, access, values: new Map()};
    const running = held.run({...statement, deadline: Infinity}, 0);
    await held.end('requested');
    await running;
    expect(seen).toEqual(expected);
  });
});
