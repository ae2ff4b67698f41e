import {FifoPolicy, fail, ok} from '@pistachiorill/core';
import type {Refusal, Result, RoutedStatement} from '@pistachiorill/core';
import {expect, it} from 'vitest';
import type {BackendTask} from '../../backend/backend_task.js';
import {ConnectionPool} from '../connection_pool.js';
import type {GroupMessage} from '../group_message.js';
import type {GroupTask} from '../group_task.js';
import {LocalExecutor} from '../local_executor.js';

function fakeBackend(name: string, log: string[]): BackendTask {
  const tell = ({kind}: {kind: string}) => log.push(`${name} ${kind}`);
  return {backendServer: name, tell} as unknown as BackendTask;
}

// Guards against new statements on a leaving member, against connections to it
// that stay open, and against statements that wait for it until their deadline.
it('drains the pool of a leaving member and opens it again', () => {
  const log: string[] = [];
  let opened = 0;
  const limits = {connections: 2, slots: 2};
  const pool = new ConnectionPool(
    limits,
    () => new FifoPolicy(9),
    () => {
      opened += 1;
      return fakeBackend(`connection-${opened}`, log);
    },
  );
  const checkedOut: BackendTask[] = [];
  const acquire = (name: string): void =>
    pool.acquire(
      {
        workspace: 'w',
        use: 'statement',
        until: 1_000,
        reply: {
          answer: result => {
            if (result.ok) checkedOut.push(result.value);
            log.push(`${name} ${result.ok ? 'served' : result.err.kind}`);
          },
        },
      },
      0,
    );
  for (const name of ['first', 'second', 'third']) acquire(name);
  pool.drain();
  acquire('fourth');
  for (const backend of checkedOut) pool.release(backend, 'reuse', 0);
  pool.setLimits(limits, 0);
  acquire('fifth');
  expect(log).toMatchSnapshot();
});

// Guards against executing a statement after its key was revoked.
it('does not send a statement whose key was revoked while it waited', async () => {
  const log: string[] = [];
  const backend = fakeBackend('connection', log);
  let granted = true;
  const group = {
    tell: (message: GroupMessage) => {
      log.push(message.kind);
      if (message.kind === 'choose') {
        message.reply.answer(
          ok({kind: 'use', backendServer: 's', servedBy: 'primary', term: 1}),
        );
      } else if (message.kind === 'acquire') {
        granted = false;
        message.reply.answer(ok(backend));
      } else if (message.kind === 'attempt-failed') {
        message.reply.answer({
          kind: 'give-up',
          reason: 'not-retryable',
        });
      }
    },
  } as unknown as GroupTask;
  const recheck = (): Result<unknown, Refusal> =>
    granted ? ok(undefined) : fail({kind: 'bad-key', detail: 'withdrawn'});
  const executor = new LocalExecutor(group, () => 0, recheck);
  const statement = {
    caller: {kind: 'anonymous'},
    route: {access: 'write'},
    deadline: 1_000,
  } as unknown as RoutedStatement;
  const result = await executor.execute(statement);
  expect({result, log}).toMatchSnapshot();
});
