import {describe, expect, it} from 'vitest';
import {chooseSuccessor} from '../choose_successor.js';
import type {SuccessorReport, SuccessorSituation} from '../choose_successor.js';

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

const BASE: SuccessorSituation = {
  reports: [report('b', 3, 10), report('c', 3, 12)],
  former: undefined,
  listed: 2,
  required: undefined,
  synchronousReplicas: 0,
  waitedMs: 0,
};

const LEADS = {role: 'primary'} as const;

const CASES: ReadonlyArray<readonly [string, Partial<SuccessorSituation>]> = [
  ['the longest log wins', {}],
  [
    'a later term goes before a longer log',
    {reports: [report('b', 4, 1), report('c', 3, 12)]},
  ],
  [
    'the nearer of two equal members',
    {reports: [report('b', 3, 9), report('c', 3, 9, {proximity: 'near'})]},
  ],
  [
    'not a leaving member among equal ones',
    {reports: [report('b', 3, 9, {eligibility: 'leaving'}), report('c', 3, 9)]},
  ],
  ['nobody reported', {reports: []}],
  ['one is missing, early', {reports: [report('b', 3, 10)]}],
  ['one is missing, late', {reports: [report('b', 3, 10)], waitedMs: 500}],
  [
    'one is missing, late, with a synchronous replica',
    {
      reports: [report('b', 3, 10)],
      waitedMs: 9_000,
      synchronousReplicas: 1,
    },
  ],
  ['planned, behind', {required: {term: 3, position: 13}}],
  [
    'planned, behind for long',
    {required: {term: 3, position: 13}, waitedMs: 3_100},
  ],
  ['planned, caught up', {required: {term: 3, position: 12}}],
  [
    'promoted by an earlier holder, the former primary follows it',
    {
      reports: [report('b', 4, 12, LEADS), report('c', 4, 12)],
      former: {role: 'replica', term: 4},
    },
  ],
  [
    'promoted by an earlier holder, the former primary is silent',
    {reports: [report('b', 4, 12, LEADS), report('c', 4, 12)]},
  ],
  [
    'promoted by an earlier holder, the former primary still leads its term',
    {
      reports: [report('b', 4, 12, LEADS), report('c', 4, 12)],
      former: {role: 'primary', term: 3},
    },
  ],
  [
    'a primary of an earlier term that was cut off',
    {reports: [report('b', 2, 20, LEADS), report('c', 3, 12)]},
  ],
];

describe('chooseSuccessor', () => {
  // Guards against lost commits, and against repeating an order that took
  // effect before its holder died, which then never ends.
  it.each(CASES)('%s', (unusedName, change) => {
    expect(chooseSuccessor({...BASE, ...change})).toMatchSnapshot();
  });
});
