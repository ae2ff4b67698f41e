import {describe, expect, it} from 'vitest';
import {ageBoundMs} from '../freshness.js';
import type {FreshnessLog} from '../freshness.js';
import type {MemberView} from '../group_view.js';

function member(position: number): MemberView {
  const at = {term: 1, position};
  return {
    backendServer: 'm',
    dataCentre: 'd',
    reachability: 'reachable',
    reachabilitySince: 0,
    polledAt: 0,
    accepting: true,
    state: {
      role: 'replica',
      term: 1,
      received: at,
      applied: at,
      fencedTerm: 1,
      fencedOwner: 'o',
      connections: 1,
      connectionLimit: 15,
      slots: 2,
    },
  };
}

const LOG: FreshnessLog = [
  {sentAt: 100, end: {term: 1, position: 5}, proof: 'proven'},
  {sentAt: 200, end: {term: 1, position: 8}, proof: 'proven'},
  {sentAt: 300, end: {term: 1, position: 8}, proof: 'pending'},
  {sentAt: 400, end: {term: 2, position: 1}, proof: 'proven'},
];

// Guards against an age bound that is too low, which allows stale reads.
describe('ageBoundMs', () => {
  it('uses the newest proven sample that the member has applied', () => {
    const ages = [4, 5, 7, 8, 9].map(position => [
      position,
      ageBoundMs(member(position), LOG, 1_000) ?? 'unknown',
    ]);
    expect(Object.fromEntries(ages)).toMatchSnapshot();
  });

  it('gives no bound without a member state or samples', () => {
    const unpolled = {...member(9), state: undefined} as unknown as MemberView;
    expect([
      ageBoundMs(unpolled, LOG, 1_000) ?? 'unknown',
      ageBoundMs(member(9), [], 1_000) ?? 'unknown',
    ]).toMatchSnapshot();
  });
});
