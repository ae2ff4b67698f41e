import {describe, expect, it} from 'vitest';
import {chooseSuccessor} from '../choose_successor.js';
import type {SuccessorReport, SuccessorInput} from '../choose_successor.js';

function report(
  member: string,
  term: number,
  position: number,
  more: Partial<SuccessorReport> = {},
): SuccessorReport {
  return {
    member,
    role: 'replica',
    term,
    received: {term, position},
    eligibility: 'eligible',
    proximity: 'far',
    ...more,
  };
}

const BASE: SuccessorInput = {
  reports: [report('b', 3, 10), report('c', 3, 12)],
  former: undefined,
  listedCount: 2,
  required: undefined,
  synchronousReplicas: 0,
  waitedMs: 0,
};

const IS_PRIMARY = {role: 'primary'} as const;

const CASES: ReadonlyArray<readonly [string, Partial<SuccessorInput>]> = [
  ['chooses the longest log', {}],
  [
    'prefers a later term to a longer log',
    {reports: [report('b', 4, 1), report('c', 3, 12)]},
  ],
  [
    'prefers the nearer of two members with equal logs',
    {reports: [report('b', 3, 9), report('c', 3, 9, {proximity: 'near'})]},
  ],
  [
    'avoids a leaving member among members with equal logs',
    {reports: [report('b', 3, 9, {eligibility: 'leaving'}), report('c', 3, 9)]},
  ],
  ['waits if no member has reported', {reports: []}],
  ['waits for a missing report', {reports: [report('b', 3, 10)]}],
  [
    'stops waiting for a missing report after a while',
    {reports: [report('b', 3, 10)], waitedMs: 500},
  ],
  [
    'keeps waiting for a missing report with a synchronous replica',
    {
      reports: [report('b', 3, 10)],
      waitedMs: 9_000,
      synchronousReplicas: 1,
    },
  ],
  [
    'waits in a switchover while all members are behind',
    {required: {term: 3, position: 13}},
  ],
  [
    'stops waiting in a switchover for members that stay behind',
    {required: {term: 3, position: 13}, waitedMs: 3_100},
  ],
  [
    'promotes a member that has caught up in a switchover',
    {required: {term: 3, position: 12}},
  ],
  [
    'accepts an earlier promotion that the former primary follows',
    {
      reports: [report('b', 4, 12, IS_PRIMARY), report('c', 4, 12)],
      former: {role: 'replica', term: 4},
    },
  ],
  [
    'accepts an earlier promotion if the former primary is unresponsive',
    {reports: [report('b', 4, 12, IS_PRIMARY), report('c', 4, 12)]},
  ],
  [
    'accepts an earlier promotion if the former primary has an older term',
    {
      reports: [report('b', 4, 12, IS_PRIMARY), report('c', 4, 12)],
      former: {role: 'primary', term: 3},
    },
  ],
  [
    'ignores a primary of an earlier term that was cut off',
    {reports: [report('b', 2, 20, IS_PRIMARY), report('c', 3, 12)]},
  ],
];

describe('chooseSuccessor', () => {
  // Guards against lost commits, and against endless repetition of an order
  // that took effect before the coordinator that issued it stopped.
  it.each(CASES)('%s', (unusedName, change) => {
    expect(chooseSuccessor({...BASE, ...change})).toMatchSnapshot();
  });
});
