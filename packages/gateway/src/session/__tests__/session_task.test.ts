import {afterEach, describe, expect, it} from 'vitest';
import type {DatabaseRoute, RuntimeConfiguration} from '@pistachiorill/core';
import type {CallerStatement} from '../../ports/caller_link.js';
import type {FakeGroup} from '../../testing/fake_group.js';
import {
  BEGIN,
  COMMIT,
  READ,
  ROLLBACK,
  SESSION_CONFIGURATION,
  WRITE,
  settle,
  startSession,
} from '../../testing/fake_session.js';

let group: FakeGroup | undefined;

afterEach(() => group?.close());

/** Starts a session whose group is closed after the test. */
function start(connectionLimit?: number) {
  const started = startSession(connectionLimit);
  group = started.fake;
  return started;
}

/** A configuration in which a workspace, if it exists, holds the key. */
function withKey(
  holder: string | undefined,
  route: Partial<DatabaseRoute>,
): RuntimeConfiguration {
  const limit = {rate: 9, burst: 9};
  const names = ['growers', 'trucks'];
  const changed = {...SESSION_CONFIGURATION.routes.get('wash-db'), ...route};
  return {
    ...SESSION_CONFIGURATION,
    routes: new Map([['wash-db', changed as DatabaseRoute]]),
    workspaces: new Map(names.map(name => [name, {name, limit, regions: []}])),
    keys: new Map(holder === undefined ? [] : [['k1', holder]]),
  };
}

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
    state.configuration = {...SESSION_CONFIGURATION, keys: new Map()};
    session.tell({kind: 'reconfigured'});
    await run(COMMIT, READ);
    expect({
      caller: caller.seen,
      primary: fake.member('a').requests,
    }).toMatchSnapshot();
  });

  // Guards against statements of a transaction that run for a workspace which no
  // longer holds the caller's key (review/2), and against transactions that fail
  // by changes that concern them only from the next one on.
  it.each<[string, Partial<DatabaseRoute>, string | undefined, string]>([
    ['moves to another workspace', {}, 'growers', 'trucks'],
    ['stays with its workspace', {}, 'growers', 'growers'],
    [
      'moves to another workspace as the route is opened to all',
      {audience: 'open'},
      'growers',
      'trucks',
    ],
    [
      'is withdrawn as the route is opened to all',
      {audience: 'open'},
      'growers',
      'none',
    ],
    [
      'is granted to a caller without a workspace',
      {audience: 'open'},
      undefined,
      'trucks',
    ],
  ])(
    'checks an open transaction if the key %s',
    async (unusedName, route, before, after) => {
      const {fake, caller, session, metrics, state, open, run} = start();
      state.configuration = withKey(before, before ? {} : route);
      open();
      await run(BEGIN, WRITE);
      state.configuration = withKey(after, route);
      session.tell({kind: 'reconfigured'});
      await run(WRITE, COMMIT, READ);
      const name = 'pistachiorill_gateway_rollbacks_total';
      const rollbacks = await metrics.registry.getSingleMetric(name)?.get();
      expect({
        caller: caller.seen,
        primary: fake.member('a').requests,
        rollbacks: rollbacks?.values.map(item => item.labels['reason']),
      }).toMatchSnapshot();
    },
  );

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
