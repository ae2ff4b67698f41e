import {afterEach, describe, expect, it} from 'vitest';
import type {ServedConfiguration} from '@pistachiorill/core';
import {Pipeline} from '@pistachiorill/tasks';
import {CallerLink} from '../../ports/caller_link.js';
import type {
  CallerStatement,
  SessionRefusal,
  SessionReply,
} from '../../ports/caller_link.js';
import type {TransactionState} from '../../ports/member_link.js';
import {GatewayMetrics} from '../../telemetry/gateway_metrics.js';
import {FakeGroup, silentLogger} from '../../testing/fake_group.js';
import {PlaceFilter} from '../place_filter.js';
import {RouteFilter} from '../route_filter.js';
import {SessionTask} from '../session_task.js';

const SETTLE_MS = 40;

class FakeCaller extends CallerLink {
  readonly seen: string[] = [];
  private open = true;

  override get isOpen(): boolean {
    return this.open;
  }

  override accept(): void {
    this.seen.push('accepted');
  }

  override reject({kind}: SessionRefusal): void {
    this.seen.push(`rejected: ${kind}`);
  }

  override reply(reply: SessionReply, transaction: TransactionState): void {
    this.seen.push(`${describeReply(reply)}, transaction ${transaction}`);
  }

  override close(): void {
    if (this.open) this.seen.push('closed');
    this.open = false;
  }
}

function describeReply(reply: SessionReply): string {
  switch (reply.kind) {
    case 'local':
      return 'local';
    case 'refused':
      return `refused: ${reply.refusal.kind}`;
    case 'member':
      return reply.answer.outcome.kind === 'done'
        ? reply.answer.outcome.signature
        : reply.answer.outcome.error.code;
  }
}

const CONFIGURATION: ServedConfiguration = {
  version: 1,
  routes: new Map([
    [
      'wash-db',
      {
        name: 'r',
        database: 'wash-db',
        group: 'wash',
        consistency: 'strict',
        maxAgeMs: 0,
        statementTimeoutMs: 400,
        targetMs: 100,
        priority: 1,
        audience: 'keyed',
        regions: [],
      },
    ],
  ]),
  groups: new Map(),
  workspaces: new Map([
    ['growers', {name: 'growers', limit: {rate: 9, burst: 9}, regions: []}],
  ]),
  keys: new Map([['k1', 'growers']]),
  transactionIdleMs: 3_000,
};

let group: FakeGroup | undefined;

afterEach(() => group?.close());

function start() {
  const fake = new FakeGroup();
  group = fake;
  const clock = (): number => performance.now();
  const log = silentLogger();
  const state = {configuration: CONFIGURATION};
  const caller = new FakeCaller();
  const session = new SessionTask(
    caller,
    {
      admit: Pipeline.of(new RouteFilter(), clock),
      place: Pipeline.of(
        new PlaceFilter({database: () => fake.task, clock, log}),
        clock,
      ),
      database: () => fake.task,
      configuration: () => state.configuration,
      refund: () => undefined,
      clock,
      log,
      metrics: new GatewayMetrics(),
    },
    () => caller.seen.push('ended'),
  );
  const open = (database = 'wash-db', key = 'k1'): void =>
    session.tell({
      kind: 'event',
      event: {kind: 'open', database, key},
      receivedAt: clock(),
    });
  const run = async (...statements: CallerStatement[]): Promise<void> => {
    for (const [index, statement] of statements.entries()) {
      session.tell({
        kind: 'event',
        event: {kind: 'statement', id: `q${index}`, statement},
        receivedAt: clock(),
      });
    }
    await settle();
  };
  return {fake, caller, session, state, open, run};
}

function settle(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, SETTLE_MS));
}

const READ: CallerStatement = {
  kind: 'statement',
  access: 'read',
  text: 'READ x',
};
const WRITE: CallerStatement = {
  kind: 'statement',
  access: 'write',
  text: 'WRITE x y',
};
const BEGIN: CallerStatement = {kind: 'begin', access: 'write'};
const COMMIT: CallerStatement = {kind: 'commit'};
const ROLLBACK: CallerStatement = {kind: 'rollback'};

describe('SessionTask', () => {
  // Guards against statements of a transaction outside of it, and against a
  // commit that a member did not confirm.
  it.each<[string, CallerStatement[]]>([
    ['a statement alone', [READ]],
    ['a transaction', [BEGIN, READ, WRITE, COMMIT]],
    ['a transaction without statements', [BEGIN, COMMIT]],
    ['a rollback', [BEGIN, WRITE, ROLLBACK, READ]],
    ['a rollback of nothing', [ROLLBACK]],
    ['a commit of nothing', [COMMIT]],
    ['two begins', [BEGIN, BEGIN, READ]],
    [
      'values and prepared statements',
      [
        {kind: 'set', name: 'lang', value: 'tw'},
        {kind: 'prepare', name: 's', statement: {access: 'read', shape: 'q'}},
        {kind: 'execute', name: 's', parameters: '1'},
        {kind: 'deallocate', name: 's'},
        {kind: 'execute', name: 's', parameters: '1'},
      ],
    ],
  ])('%s', async (unusedName, statements) => {
    const {fake, caller, open, run} = start();
    open();
    await run(...statements);
    expect({
      caller: caller.seen,
      primary: fake.member('a').requests,
    }).toMatchSnapshot();
  });

  // Guards against a statement that runs after its transaction was lost, and
  // against a promise about a commit without an answer.
  it.each<[string, (fake: FakeGroup) => void, CallerStatement[]]>([
    [
      'the second statement fails',
      fake => {
        fake.member('a').errors.push({command: 'commit', kind: 'not-primary'});
      },
      [BEGIN, WRITE, COMMIT, READ],
    ],
    [
      'a statement is refused',
      fake => {
        fake.member('a').errors.push({command: 'statement', kind: 'failed'});
      },
      [BEGIN, WRITE, READ, COMMIT, READ],
    ],
    [
      'a statement is refused, then rolled back',
      fake => {
        fake.member('a').errors.push({command: 'statement', kind: 'failed'});
      },
      [BEGIN, WRITE, ROLLBACK, READ],
    ],
  ])('%s', async (unusedName, setup, statements) => {
    const {fake, caller, open, run} = start();
    setup(fake);
    open();
    await run(...statements);
    expect({
      caller: caller.seen,
      primary: fake.member('a').requests,
    }).toMatchSnapshot();
  });

  it('says nothing of a commit whose answer is lost', async () => {
    const {fake, caller, open, run} = start();
    open();
    await run(BEGIN, WRITE);
    fake.member('a').mood = 'loses-answers';
    await run(COMMIT);
    expect(caller.seen.at(-1)).toBe(
      'refused: unknown-outcome, transaction none',
    );
  });

  // Guards against callers without a key, and against a key that works on.
  it.each([
    ['wash-db', 'wrong'],
    ['other-db', 'k1'],
  ])('refuses %s with key %s', async (database, key) => {
    const {caller, open} = start();
    open(database, key);
    await settle();
    expect(caller.seen).toMatchSnapshot();
  });

  it('ends a session whose key is withdrawn', async () => {
    const {fake, caller, session, state, open, run} = start();
    open();
    await run(BEGIN, WRITE);
    state.configuration = {...CONFIGURATION, keys: new Map()};
    session.tell({kind: 'reconfigured'});
    await run(COMMIT, READ);
    expect({
      caller: caller.seen,
      primary: fake.member('a').requests,
    }).toMatchSnapshot();
  });

  // Guards against a stop that cuts a transaction, and against one that waits
  // for idle sessions.
  it('drains after the transaction', async () => {
    const {caller, session, open, run} = start();
    open();
    await run(BEGIN, WRITE);
    session.tell({kind: 'drain'});
    await settle();
    const duringTransaction = [...caller.seen];
    await run(COMMIT);
    expect({duringTransaction, after: caller.seen}).toMatchSnapshot();
  });

  // Guards against what a caller that left has begun.
  it('rolls back when the caller leaves', async () => {
    const {fake, session, open, run} = start();
    open();
    await run(BEGIN, WRITE);
    session.tell({
      kind: 'event',
      event: {kind: 'ended'},
      receivedAt: performance.now(),
    });
    await settle();
    expect(fake.member('a').requests).toMatchSnapshot();
  });
});
