import {describe, expect, it} from 'vitest';
import {Random} from '../../common/random.js';
import {
  isHeldByMajority,
  proveSamples,
  recordPrimarySample,
} from '../freshness.js';
import type {FreshnessLog} from '../freshness.js';
import type {GroupView, MemberView, Reachability} from '../group_view.js';
import type {MemberRole} from '../member_state.js';
import type {MemberRequest} from '../read_policy.js';
import {ReplicaFirstPolicy} from '../replica_first_policy.js';

const NOW = 10_000;

function member(
  backendServer: string,
  role: MemberRole,
  position: number,
  change: {
    term?: number;
    fencedTerm?: number;
    polledAt?: number;
    reachability?: Reachability;
    accepting?: boolean;
  } = {},
): MemberView {
  const {term = 1, fencedTerm = 1} = change;
  const at = {term, position};
  return {
    backendServer,
    dataCentre: backendServer,
    reachability: change.reachability ?? 'reachable',
    reachabilitySince: 0,
    polledAt: change.polledAt ?? NOW - 10,
    accepting: change.accepting ?? true,
    state: {
      role,
      term,
      received: at,
      applied: at,
      fencedTerm,
      fencedOwner: 'vm',
      connections: 0,
      connectionLimit: 15,
      slots: 2,
    },
  };
}

function view(...members: MemberView[]): GroupView {
  return {database: 'ledger', members};
}

/** The primary's log ends at position 5 at 9,000 ms and at 8 at 9,900 ms. */
function freshness(group: GroupView): FreshnessLog {
  let log = recordPrimarySample([], {
    sentAt: 9_000,
    end: {term: 1, position: 5},
  });
  log = recordPrimarySample(log, {sentAt: 9_900, end: {term: 1, position: 8}});
  return proveSamples(log, group);
}

const READ: MemberRequest = {
  access: 'read',
  maxAgeMs: 500,
  requirement: {kind: 'at-least', position: {term: 1, position: 0}},
  replicaWaitUntil: 0,
  avoid: [],
};

const GROUP = view(
  member('a', 'primary', 8),
  member('b', 'replica', 8),
  member('c', 'replica', 5),
);

const CASES: ReadonlyArray<
  readonly [string, GroupView, Partial<MemberRequest>]
> = [
  ['sends a read to a fresh replica', GROUP, {}],
  ['sends a read of current data to the primary', GROUP, {maxAgeMs: 0}],
  ['sends a write to the primary', GROUP, {access: 'write'}],
  [
    'sends a read with an unverified token to the primary',
    GROUP,
    {requirement: {kind: 'unknown'}},
  ],
  [
    'uses the primary if the session is ahead of every replica',
    GROUP,
    {requirement: {kind: 'at-least', position: {term: 1, position: 9}}},
  ],
  [
    'waits for a replica that is behind the session while time is left',
    GROUP,
    {
      requirement: {kind: 'at-least', position: {term: 1, position: 9}},
      replicaWaitUntil: NOW + 1,
    },
  ],
  ['skips a replica to avoid', GROUP, {avoid: ['b']}],
  [
    'skips a replica that accepts no new statements',
    view(
      member('a', 'primary', 8),
      member('b', 'replica', 8, {accepting: false}),
      member('c', 'replica', 5),
    ),
    {},
  ],
  [
    'skips an unreachable replica',
    view(
      member('a', 'primary', 8),
      member('b', 'replica', 8, {reachability: 'unreachable'}),
      member('c', 'replica', 5),
    ),
    {},
  ],
  [
    'skips replicas while a majority is fenced, as no age is proven',
    view(
      member('a', 'primary', 8),
      member('b', 'replica', 8, {fencedTerm: 2}),
      member('c', 'replica', 8, {fencedTerm: 2}),
    ),
    {},
  ],
  [
    'uses the primary with the higher term',
    view(
      member('a', 'primary', 8, {reachability: 'unreachable'}),
      member('b', 'primary', 9, {term: 2, fencedTerm: 2}),
      member('c', 'replica', 9, {term: 2, fencedTerm: 2}),
    ),
    {access: 'write'},
  ],
  [
    'waits while the primary is unreachable',
    view(
      member('a', 'primary', 8, {reachability: 'unreachable'}),
      member('b', 'replica', 8),
      member('c', 'replica', 8),
    ),
    {access: 'write'},
  ],
];

describe('ReplicaFirstPolicy', () => {
  // Guards against a read on a replica whose data is too old for the session or
  // the route, and against a statement on a replaced primary.
  it.each(CASES)('%s', (unusedName, group, change) => {
    const choice = new ReplicaFirstPolicy().choose(
      {...READ, ...change},
      group,
      freshness(group),
      new Random(1),
      NOW,
    );
    expect(choice).toMatchSnapshot();
  });
});

describe('isHeldByMajority', () => {
  // Guards against the acknowledgement of a write that only an isolated primary
  // holds, and against counting an entry of another term at the same position.
  it('counts members that received the entry in its term', () => {
    const entry = {term: 1, position: 8};
    expect({
      primaryOnly: isHeldByMajority(
        view(
          member('a', 'primary', 8),
          member('b', 'replica', 7),
          member('c', 'replica', 7),
        ),
        entry,
      ),
      oneReplica: isHeldByMajority(GROUP, entry),
      otherTerm: isHeldByMajority(
        view(
          member('a', 'primary', 8),
          member('b', 'primary', 9, {term: 2}),
          member('c', 'replica', 9, {term: 2}),
        ),
        entry,
      ),
    }).toMatchSnapshot();
  });
});
