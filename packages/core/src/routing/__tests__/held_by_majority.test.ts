import {describe, expect, it} from 'vitest';
import {isHeldByMajority} from '../freshness.js';
import type {GroupView} from '../group_view.js';

type MemberLog = readonly [
  memberTerm: number,
  logTerm: number,
  position: number,
];

const ENTRY = {term: 1, position: 5};

const CASES: ReadonlyArray<readonly [string, readonly MemberLog[]]> = [
  [
    'true if two of three members hold the entry in its term',
    [
      [1, 1, 5],
      [1, 1, 7],
      [1, 1, 4],
    ],
  ],
  [
    'false if only the primary holds the entry',
    [
      [1, 1, 5],
      [1, 1, 4],
      [1, 1, 4],
    ],
  ],
  // The member whose log ends in term 2 would be promoted next and drop the
  // entry, although two members hold it.
  [
    'false if a primary of term 3 replicated an entry of term 1',
    [
      [3, 1, 5],
      [3, 1, 5],
      [2, 2, 5],
    ],
  ],
];

describe('isHeldByMajority', () => {
  // Guards against the acknowledgement of a write that a later promotion can
  // drop.
  it.each(CASES)('%s', (unusedName, logs) => {
    const view: GroupView = {
      database: 'ledger',
      members: logs.map(([term, logTerm, position], index) => ({
        backendServer: `m${index}`,
        dataCentre: 'a',
        reachability: 'reachable',
        reachabilitySince: 0,
        polledAt: 0,
        accepting: true,
        state: {
          role: index === 0 ? 'primary' : 'replica',
          term,
          received: {term: logTerm, position},
          applied: {term: logTerm, position},
          fencedTerm: term,
          fencedOwner: '',
          connections: 0,
          connectionLimit: 9,
          slots: 2,
        },
      })),
    };
    expect(isHeldByMajority(view, ENTRY)).toMatchSnapshot();
  });
});
