import type {StatementContext} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import type {BeginResponse, ForwardResponse} from '@pistachiorill/peers';
import {afterEach, describe, expect, it} from 'vitest';
import {KEEP_ALIVE_TIMEOUT_MS, OwnerTask} from '../owner_task.js';
import {encodeStatement} from '../wire_statement.js';
import {CONTEXT, DONE, RecordingExecutor, statementOf} from './fakes.js';

const STATEMENT = encodeStatement(statementOf({}), 0);

describe('OwnerTask', () => {
  const tasks: OwnerTask[] = [];
  afterEach(async () => {
    for (const task of tasks.splice(0)) await task.stop();
  });

  function setup(context: StatementContext = CONTEXT) {
    const executor = new RecordingExecutor();
    const time = {now: 0};
    const task = new OwnerTask({
      local: database => (database === 'd' ? executor : undefined),
      context: () => context,
      clock: () => time.now,
      onFault: err => {
        throw err;
      },
    });
    tasks.push(task);
    const begin = (): Promise<BeginResponse> =>
      ask(reply =>
        task.tell({kind: 'begin', req: {statement: STATEMENT}, reply}),
      );
    const forward = (database: string): Promise<ForwardResponse> =>
      ask(reply =>
        task.tell({
          kind: 'forward',
          req: {statement: {...STATEMENT, database}},
          reply,
        }),
      );
    const executeIn = (transaction: string): Promise<ForwardResponse> =>
      ask(reply =>
        task.tell({
          kind: 'execute-in',
          req: {transaction, statement: STATEMENT},
          reply,
        }),
      );
    const commit = (transaction: string): Promise<ForwardResponse> =>
      ask(reply =>
        task.tell({
          kind: 'commit',
          req: {transaction, remainingMs: 100},
          reply,
        }),
      );
    return {executor, time, task, begin, forward, executeIn, commit};
  }

  async function open(begin: () => Promise<BeginResponse>): Promise<string> {
    const begun = await begin();
    if (!begun.ok) throw new Error(begun.err.kind);
    return begun.transaction;
  }

  // Guards against locks that the transaction of a failed VM holds forever,
  // and against rolling back a transaction whose caller is merely idle.
  it('rolls back a transaction without keep-alives', async () => {
    const {executor, time, task, begin, executeIn} = setup();
    const kept = await open(begin);
    const dropped = await open(begin);
    time.now = KEEP_ALIVE_TIMEOUT_MS;
    task.tell({kind: 'keep-alive', transactions: [kept]});
    time.now = KEEP_ALIVE_TIMEOUT_MS + 1;
    task.tell({kind: 'sweep'});
    expect((await executeIn(kept)).ok).toBe(true);
    expect(await executeIn(dropped)).toMatchSnapshot();
    expect(executor.log).toEqual([
      'begin',
      'begin',
      'rollback',
      'execute in transaction',
    ]);
  });

  // Guards against a commit that runs twice or after a rollback.
  it('commits a transaction only once', async () => {
    const {executor, begin, commit} = setup();
    const transaction = await open(begin);
    expect(await commit(transaction)).toEqual(DONE);
    expect(await commit(transaction)).toMatchSnapshot();
    expect(executor.log).toEqual(['begin', 'commit']);
  });

  // Guards against forwarding loops, and against new work in a planned stop.
  it('refuses groups it does not own, and all new work while draining', async () => {
    const serving = setup();
    const draining = setup({...CONTEXT, lifecycle: 'draining'});
    expect({
      own: (await serving.forward('d')).ok,
      other: await serving.forward('e'),
      draining: await draining.forward('d'),
      drainingBegin: await draining.begin(),
    }).toMatchSnapshot();
  });
});
