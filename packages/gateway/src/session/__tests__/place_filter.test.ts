import {afterEach, describe, expect, it} from 'vitest';
import type {DatabaseRoute, RuntimeConfiguration} from '@pistachiorill/core';
import {FakeGroup, silentLogger} from '../../testing/fake_group.js';
import {SESSION_CONFIGURATION} from '../../testing/fake_session.js';
import {PlaceFilter} from '../place_filter.js';
import {SessionPositions} from '../session_positions.js';
import type {RoutedStatement} from '../session_statement.js';

const ROUTE: DatabaseRoute = {
  name: 'r',
  database: 'wash-db',
  group: 'wash',
  consistency: 'strict',
  maxAgeMs: 1_500,
  statementTimeoutMs: 500,
  targetMs: 100,
  priority: 1,
  audience: 'keyed',
  regions: [],
};

let group: FakeGroup | undefined;

afterEach(() => group?.close());

function statement(
  access: 'read' | 'write',
  route: Partial<DatabaseRoute> = {},
): RoutedStatement {
  const now = performance.now();
  const text = access === 'read' ? 'READ x' : 'WRITE x y';
  return {
    id: 'q1',
    database: 'wash-db',
    key: 'k',
    receivedAt: now,
    command: {kind: 'statement', text},
    access,
    values: new Map(),
    positions: new SessionPositions(),
    placementLog: 'off',
    configuration: undefined,
    route: {...ROUTE, ...route},
    workspace: 'growers',
    caller: 'keyed',
    regions: [],
    deadline: now + 500,
  };
}

/** Runs a statement; returns the result and the requests of each member. */
async function place(
  fake: FakeGroup,
  routed: RoutedStatement,
  configuration: () => RuntimeConfiguration | undefined = () => undefined,
) {
  const filter = new PlaceFilter({
    database: () => fake.task,
    configuration,
    clock: () => performance.now(),
    log: silentLogger(),
  });
  const placed = await filter.run(routed);
  const requests = Object.fromEntries(
    [...fake.links.members].map(([name, member]) => [name, member.requests]),
  );
  // The time limit of an attempt differs from run to run.
  const err = placed.ok
    ? undefined
    : {...placed.err, detail: placed.err.detail.replace(/\d+ ms/, 'N ms')};
  return {
    result: placed.ok ? placed.value.answer.outcome : err,
    requests,
  };
}

type Setup = (fake: FakeGroup) => void;
const STRICT: Partial<DatabaseRoute> = {};

const CASES: ReadonlyArray<
  readonly [string, 'read' | 'write', Partial<DatabaseRoute>, Setup]
> = [
  ['runs a write on the primary', 'write', STRICT, () => undefined],
  [
    'reports an unknown outcome for a write without a response',
    'write',
    STRICT,
    fake => (fake.member('a').mode = 'loses-answers'),
  ],
  [
    'retries a write that the member refuses once as busy',
    'write',
    STRICT,
    fake => fake.member('a').errors.push({command: 'statement', kind: 'busy'}),
  ],
  [
    'reports the error of a write that fails on the member',
    'write',
    STRICT,
    fake =>
      fake.member('a').errors.push({command: 'statement', kind: 'failed'}),
  ],
  [
    'refuses a write if the recorded primary does not lead',
    'write',
    STRICT,
    fake => {
      for (let i = 0; i < 4; i++) {
        fake
          .member('a')
          .errors.push({command: 'statement', kind: 'not-primary'});
      }
    },
  ],
  [
    'refuses a write without a valid primary lease',
    'write',
    STRICT,
    fake => (fake.primaryLease = {kind: 'denied', reason: 'proof-expired'}),
  ],
  [
    'refuses a strict read if the primary accepts no connections',
    'read',
    STRICT,
    fake => (fake.member('a').mode = 'refuses-connections'),
  ],
  [
    'runs a bounded-age read on the primary if no log position is known',
    'read',
    {consistency: 'bounded-age'},
    () => undefined,
  ],
];

describe('PlaceFilter', () => {
  // Guards against the retry of a write that may have run already, and against
  // a refusal that reports it as not run.
  it.each(CASES)('%s', async (unusedName, access, route, setup) => {
    group = new FakeGroup();
    setup(group);
    const placed = await place(group, statement(access, route));
    expect(placed).toMatchSnapshot();
  });

  // Guards against an acknowledged write from a primary that was replaced while
  // the write ran.
  it('does not acknowledge a write if the primary lease ends meanwhile', async () => {
    const fake = new FakeGroup();
    group = fake;
    let reads = 0;
    Object.defineProperty(fake, 'primaryLease', {
      get: () =>
        ++reads > 1 ? {kind: 'denied', reason: 'proof-expired'} : undefined,
    });
    const {result} = await place(fake, statement('write'));
    expect(result).toMatchObject({kind: 'unknown-outcome'});
  });

  // Guards against a read from a replica whose data exceeds the maximum age.
  it('requires the position of the primary in a read on a replica', async () => {
    group = new FakeGroup();
    await place(group, statement('write'));
    const recent = {consistency: 'bounded-age'} as const;
    // Another workspace, which has no idle connection to the primary.
    const {requests} = await place(group, {
      ...statement('read', recent),
      workspace: 'inspectors',
    });
    const replicas = [...(requests['b'] ?? []), ...(requests['c'] ?? [])];
    expect(replicas).toContain('q1 READ x after 1.10');
  });

  // Guards against a read that waits for a lagging replica to catch up.
  it('retries a read on another member if a replica is behind', async () => {
    group = new FakeGroup();
    await place(group, statement('write'));
    for (const name of ['b', 'c']) {
      group.member(name).errors.push({command: 'statement', kind: 'behind'});
    }
    const recent = {consistency: 'bounded-age'} as const;
    const {result} = await place(group, statement('read', recent));
    expect(result).toMatchObject({kind: 'done'});
  });

  // Guards against a refusal if the new primary is in place before the
  // statement's deadline.
  it('waits for the new primary during a switchover', async () => {
    const fake = new FakeGroup();
    group = fake;
    const record = {phase: 'moving', from: 'a', reason: 'leaving'} as const;
    fake.task.tell({kind: 'leadership', leadership: {record, version: 2}});
    setTimeout(() => fake.setPrimary('b', 3), 40);
    fake.member('b').role = 'primary';
    const {result, requests} = await place(fake, statement('write'));
    expect({result, formerPrimaryRequests: requests['a']}).toMatchSnapshot();
  });

  // Guards against a statement that runs for the workspace which held its key
  // when it arrived, although the key moved while it waited (review/2).
  it.each([
    ['moved to another workspace', new Map([['k', 'trucks']])],
    ['was withdrawn', new Map()],
    ['stays with its workspace', new Map([['k', 'growers']])],
  ])('checks the key after the wait: it %s', async (unusedName, keys) => {
    const fake = new FakeGroup();
    group = fake;
    const record = {phase: 'moving', from: 'a', reason: 'leaving'} as const;
    fake.task.tell({kind: 'leadership', leadership: {record, version: 2}});
    let current = {...SESSION_CONFIGURATION, keys: new Map([['k', 'growers']])};
    setTimeout(() => (current = {...current, keys}), 20);
    setTimeout(() => fake.setPrimary('b', 3), 40);
    fake.member('b').role = 'primary';
    const placed = await place(fake, statement('write'), () => current);
    expect(placed).toMatchSnapshot();
  });
});
