import {afterEach, describe, expect, it} from 'vitest';
import type {DatabaseRoute} from '@pistachiorill/core';
import {FakeGroup, silentLogger} from '../../testing/fake_group.js';
import {PlaceFilter} from '../place_filter.js';
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
    seen: undefined,
    configuration: undefined,
    route: {...ROUTE, ...route},
    workspace: 'growers',
    caller: 'keyed',
    regions: [],
    deadline: now + 500,
  };
}

async function place(fake: FakeGroup, what: RoutedStatement) {
  const filter = new PlaceFilter({
    database: () => fake.task,
    clock: () => performance.now(),
    log: silentLogger(),
  });
  const placed = await filter.run(what);
  const requests = Object.fromEntries(
    [...fake.links.members].map(([name, member]) => [name, member.requests]),
  );
  // How long an attempt waited differs from run to run.
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
  ['a write at the primary', 'write', STRICT, () => undefined],
  [
    'a write whose answer is lost',
    'write',
    STRICT,
    fake => (fake.member('a').mood = 'loses-answers'),
  ],
  [
    'a write that the member refuses as busy, once',
    'write',
    STRICT,
    fake => fake.member('a').errors.push({command: 'statement', kind: 'busy'}),
  ],
  [
    'a write that fails at the member',
    'write',
    STRICT,
    fake =>
      fake.member('a').errors.push({command: 'statement', kind: 'failed'}),
  ],
  [
    'a write at a member that no longer leads',
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
    'a write without a right to the primary',
    'write',
    STRICT,
    fake => (fake.right = {kind: 'denied', reason: 'proof-expired'}),
  ],
  [
    'a strict read whose primary does not take connections',
    'read',
    STRICT,
    fake => (fake.member('a').mood = 'refuses-connections'),
  ],
  [
    'a read of recent data without a sample',
    'read',
    {consistency: 'bounded-age'},
    () => undefined,
  ],
];

describe('PlaceFilter', () => {
  // Guards against a write that is tried twice after it may have run, and
  // against a refusal that says otherwise.
  it.each(CASES)('%s', async (unusedName, access, route, setup) => {
    group = new FakeGroup();
    setup(group);
    const placed = await place(group, statement(access, route));
    expect(placed).toMatchSnapshot();
  });

  // Guards against an acknowledged write of a primary that was replaced while
  // it worked.
  it('does not pass on a write whose right ended meanwhile', async () => {
    const fake = new FakeGroup();
    group = fake;
    let asked = 0;
    Object.defineProperty(fake, 'right', {
      get: () =>
        ++asked > 1 ? {kind: 'denied', reason: 'proof-expired'} : undefined,
    });
    const {result} = await place(fake, statement('write'));
    expect(result).toMatchObject({kind: 'unknown-outcome'});
  });

  // Guards against a read at a replica that lacks what the age demands.
  it('reads at a replica from the primary position on', async () => {
    group = new FakeGroup();
    await place(group, statement('write'));
    const recent = {consistency: 'bounded-age'} as const;
    // Another workspace, so that no connection to the primary is at hand.
    const {requests} = await place(group, {
      ...statement('read', recent),
      workspace: 'inspectors',
    });
    const replicas = [...(requests['b'] ?? []), ...(requests['c'] ?? [])];
    expect(replicas).toContain('q1 READ x after 1.10');
  });

  // Guards against a wait for a replica that is behind.
  it('goes to another member when one is behind', async () => {
    group = new FakeGroup();
    await place(group, statement('write'));
    for (const name of ['b', 'c']) {
      group.member(name).errors.push({command: 'statement', kind: 'behind'});
    }
    const recent = {consistency: 'bounded-age'} as const;
    const {result} = await place(group, statement('read', recent));
    expect(result).toMatchObject({kind: 'done'});
  });

  // Guards against a refusal although the group gets a primary in time.
  it('waits for a primary that is being replaced', async () => {
    const fake = new FakeGroup();
    group = fake;
    const record = {phase: 'moving', from: 'a', reason: 'leaving'} as const;
    fake.task.tell({kind: 'leadership', leadership: {record, version: 2}});
    setTimeout(() => fake.settle('b', 3), 40);
    fake.member('b').role = 'primary';
    const {result, requests} = await place(fake, statement('write'));
    expect({result, atFormer: requests['a']}).toMatchSnapshot();
  });
});
