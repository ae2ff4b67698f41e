import {afterEach, describe, expect, it} from 'vitest';
import type {RuntimeConfiguration} from '@pistachiorill/core';
import {Pipeline, sleep} from '@pistachiorill/tasks';
import type {CallerStatement} from '../../ports/caller_link.js';
import {GatewayMetrics} from '../../telemetry/gateway_metrics.js';
import {FakeCaller} from '../../testing/fake_caller.js';
import {FakeGroup, silentLogger} from '../../testing/fake_group.js';
import {PlaceFilter} from '../place_filter.js';
import {RouteFilter} from '../route_filter.js';
import {SessionTask} from '../session_task.js';

/** How long a test waits for pending statements to finish. */
const SETTLE_MS = 40;
const CONNECTION_LIMIT = 1;

const CONFIGURATION: RuntimeConfiguration = {
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

/** Starts a session with a fake caller and a group of fake members. */
function start(connectionLimit?: number) {
  const fake = new FakeGroup(connectionLimit);
  group = fake;
  const clock = (): number => performance.now();
  const log = silentLogger();
  const state = {configuration: CONFIGURATION};
  const caller = new FakeCaller();
  const metrics = new GatewayMetrics();
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
      refundToken: () => undefined,
      clock,
      log,
      metrics,
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
  caller.onCloseRequested = () =>
    session.tell({kind: 'event', event: {kind: 'ended'}, receivedAt: clock()});
  return {fake, caller, metrics, session, state, open, run};
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
  // Guards against statements of a transaction that run outside of it, and
  // against a commit that is acknowledged without a member's confirmation.
  it.each<[string, CallerStatement[]]>([
    ['runs a single statement outside a transaction', [READ]],
    ['runs a transaction on one connection', [BEGIN, READ, WRITE, COMMIT]],
    ['commits a transaction without statements', [BEGIN, COMMIT]],
    ['rolls a transaction back', [BEGIN, WRITE, ROLLBACK, READ]],
    ['accepts a rollback without a transaction', [ROLLBACK]],
    ['refuses a commit without a transaction', [COMMIT]],
    ['refuses a second begin', [BEGIN, BEGIN, READ]],
    [
      'sets values and prepares statements on the connection',
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
  // against a definite result for a commit without a response.
  it.each<[string, (fake: FakeGroup) => void, CallerStatement[]]>([
    [
      'reports a rollback if the member refuses the commit',
      fake => {
        fake.member('a').errors.push({command: 'commit', kind: 'not-primary'});
      },
      [BEGIN, WRITE, COMMIT, READ],
    ],
    [
      'refuses further statements after one fails',
      fake => {
        fake.member('a').errors.push({command: 'statement', kind: 'failed'});
      },
      [BEGIN, WRITE, READ, COMMIT, READ],
    ],
    [
      'accepts a rollback after a statement fails',
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

  it('reports an unknown outcome for a commit without a response', async () => {
    const {fake, caller, open, run} = start();
    open();
    await run(BEGIN, WRITE);
    fake.member('a').mode = 'loses-answers';
    await run(COMMIT);
    expect(caller.seen.at(-1)).toBe(
      'refused: unknown-outcome, transaction none',
    );
  });

  // Guards against access with an invalid key, and against a withdrawn key that
  // remains usable.
  it.each([
    ['wash-db', 'wrong'],
    ['other-db', 'k1'],
  ])('refuses %s with key %s', async (database, key) => {
    const {caller, open} = start();
    open(database, key);
    await settle();
    expect(caller.seen).toMatchSnapshot();
  });

  it('rolls back and refuses statements if the key is withdrawn', async () => {
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

  // Guards against a request that is cut off without an answer, because it
  // arrives together with the withdrawal of its key or with a shutdown.
  it.each(['reconfigured', 'drain'] as const)(
    'answers a request that has arrived behind: %s',
    async kind => {
      const {fake, caller, session, state, open, run} = start();
      open();
      await settle();
      if (kind === 'reconfigured') {
        state.configuration = {...CONFIGURATION, keys: new Map()};
      }
      session.tell({kind});
      await run(READ);
      expect({
        caller: caller.seen,
        primary: fake.member('a').requests,
      }).toMatchSnapshot();
    },
  );

  // Guards against a request that is cut off without an answer, because it was
  // still in the socket's buffer when its session closed.
  it.each(['reconfigured', 'drain'] as const)(
    'answers a request that has arrived unread: %s',
    async kind => {
      const {fake, caller, session, state, open, run} = start();
      open();
      await settle();
      if (kind === 'reconfigured') {
        state.configuration = {...CONFIGURATION, keys: new Map()};
      }
      caller.pending = () => {
        caller.pending = () => undefined;
        void run(READ);
      };
      session.tell({kind});
      await settle();
      expect({
        caller: caller.seen,
        primary: fake.member('a').requests,
      }).toMatchSnapshot();
    },
  );

  // Guards against a request that is cut off without an answer, because it was on
  // its way when its session ended, and against one that then runs.
  it.each(['reconfigured', 'drain', 'close'] as const)(
    'answers a request that crosses the end of its session: %s',
    async kind => {
      const {fake, caller, session, state, open, run} = start();
      open();
      await settle();
      caller.onCloseRequested = () => undefined;
      if (kind === 'reconfigured') {
        state.configuration = {...CONFIGURATION, keys: new Map()};
      }
      session.tell({kind});
      await settle();
      await run(BEGIN);
      await run(WRITE);
      expect({
        caller: caller.seen,
        primary: fake.member('a').requests,
      }).toMatchSnapshot();
    },
  );

  // Guards against a caller that keeps a VM from exiting, or its connection after
  // its key was withdrawn.
  it('disconnects a caller that does not close', async () => {
    const {caller, session, open} = start();
    open();
    await settle();
    caller.onCloseRequested = () => undefined;
    session.tell({kind: 'drain'});
    await settle();
    // Whatever else is in the mailbox by then.
    session.tell({kind: 'disconnect'});
    session.tell({kind: 'reconfigured'});
    await settle();
    expect(caller.seen).toMatchSnapshot();
  });

  // Guards against a write that runs outside its transaction, as its begin was
  // refused.
  it('refuses all requests that cross the end of their session', async () => {
    const {fake, caller, session, open, run} = start();
    open();
    await settle();
    caller.onCloseRequested = () => undefined;
    session.tell({kind: 'drain'});
    await settle();
    await run(BEGIN, WRITE, COMMIT);
    expect({
      caller: caller.seen,
      primary: fake.member('a').requests,
    }).toMatchSnapshot();
  });

  // Guards against a transaction that stays open after its caller was asked to
  // close.
  it('rolls back a transaction that begins as its VM exits', async () => {
    const {fake, caller, session, open, run} = start();
    open();
    await settle();
    session.tell({kind: 'close'});
    await run(BEGIN, WRITE);
    expect({
      caller: caller.seen,
      primary: fake.member('a').requests,
    }).toMatchSnapshot();
  });

  // Guards against replies to callers that have left which leave no record.
  it('counts a reply that is not delivered', async () => {
    const {caller, metrics, open, run} = start();
    open();
    await settle();
    caller.close();
    await run(READ);
    const name = 'pistachiorill_gateway_undelivered_replies_total';
    const metric = await metrics.registry.getSingleMetric(name)?.get();
    expect(metric?.values[0]?.value).toBe(1);
  });

  // Guards against a request that is cut off without an answer, because it and
  // the time limit of its caller passed while the process did not run.
  it('answers a request that arrives before its caller is disconnected', async () => {
    const {caller, session, open, run} = start();
    open();
    await settle();
    caller.onCloseRequested = () => undefined;
    session.tell({kind: 'drain'});
    await settle();
    caller.pending = () => {
      caller.pending = () => undefined;
      void run(READ);
    };
    session.tell({kind: 'disconnect'});
    await settle();
    expect(caller.seen).toMatchSnapshot();
  });

  // Guards against a caller that waits for a session which a VM that stops will
  // not serve.
  it('rejects a caller that has not opened its session yet', async () => {
    const {caller, session, open} = start();
    session.tell({kind: 'drain'});
    await settle();
    open();
    await settle();
    expect(caller.seen).toMatchSnapshot();
  });

  // Guards against a request that waits for a connection as its VM exits, and is
  // cut off without an answer.
  it('answers a request that waits as its VM exits', async () => {
    const {fake, caller, session, open, run} = start(CONNECTION_LIMIT);
    open();
    await settle();
    await fake.checkOutPrimary();
    const waiting = run(READ);
    await sleep(SETTLE_MS / 4);
    fake.close();
    session.tell({kind: 'close'});
    await waiting;
    expect({
      caller: caller.seen,
      primary: fake.member('a').requests,
    }).toMatchSnapshot();
  });

  // Guards against a statement that runs outside its transaction, because the VM
  // exits before it.
  it('fails the rest of a transaction as its VM exits', async () => {
    const {fake, caller, session, open, run} = start();
    open();
    await run(BEGIN, WRITE);
    fake.close();
    session.tell({kind: 'close'});
    await run(WRITE, COMMIT);
    expect({
      caller: caller.seen,
      primary: fake.member('a').requests,
    }).toMatchSnapshot();
  });

  // Guards against a shutdown that aborts an open transaction, and against one
  // that waits for idle sessions.
  it('closes after the open transaction when it drains', async () => {
    const {caller, session, open, run} = start();
    open();
    await run(BEGIN, WRITE);
    session.tell({kind: 'drain'});
    await settle();
    const duringTransaction = [...caller.seen];
    await run(COMMIT);
    expect({duringTransaction, after: caller.seen}).toMatchSnapshot();
  });

  // Guards against a request without an answer, and against a lost session, after
  // an unexpected error.
  it('answers a request that fails unexpectedly', async () => {
    const {fake, caller, open, run} = start();
    open();
    fake.task.tell = () => {
      throw new Error('unexpected');
    };
    await run(READ);
    Reflect.deleteProperty(fake.task, 'tell');
    await run(READ);
    expect(caller.seen).toMatchSnapshot();
  });

  // Guards against no answer, or two, after an error in an open transaction.
  it.each<[string, CallerStatement]>([
    ['write', WRITE],
    ['commit', COMMIT],
    ['rollback', ROLLBACK],
  ])('answers a %s that fails unexpectedly once', async (unused, statement) => {
    const {fake, caller, open, run} = start();
    open();
    await run(BEGIN, WRITE);
    const tell = fake.task.tell.bind(fake.task);
    fake.task.tell = message => {
      if (['confirm', 'return'].includes(message.kind)) {
        throw new Error('unexpected');
      }
      tell(message);
    };
    const before = caller.seen.length;
    await run(statement);
    Reflect.deleteProperty(fake.task, 'tell');
    expect(caller.seen.slice(before)).toMatchSnapshot();
  });

  // Guards against a transaction that stays open after its caller disconnected.
  it('rolls back if the caller disconnects', async () => {
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
