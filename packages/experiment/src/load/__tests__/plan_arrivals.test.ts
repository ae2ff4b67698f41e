import {Random} from '@pistachiorill/core';
import {describe, expect, it} from 'vitest';
import {planArrivals} from '../plan_arrivals.js';
import {REQUEST_MIX} from '../request_kind.js';

const WORKSPACES = [
  {name: 'a', key: '', rate: 200, burst: 200},
  {name: 'b', key: '', rate: 50, burst: 50},
];

function summary(factors: ReadonlyMap<string, number>, seed: number) {
  const plan = {durationMs: 20_000, load: 0.5, factors};
  const planned = planArrivals(WORKSPACES, plan, new Random(seed));
  return WORKSPACES.map(({name}) => {
    const own = planned.filter(item => item.workspace === name);
    const statements = own.reduce(
      (sum, item) => sum + REQUEST_MIX[item.kind].statements,
      0,
    );
    return {
      name,
      statementsPerSecond: Math.round(statements / 20),
      beyond: own.filter(item => item.rate === 'beyond').length,
      first: own.slice(0, 2),
    };
  });
}

// Guards against a load that differs from its stated rate or between runs with
// the same seed.
describe('planArrivals', () => {
  it.each([
    ['half of the rate', new Map<string, number>(), 1],
    ['another seed', new Map<string, number>(), 2],
    ['one workspace far over its rate', new Map([['b', 10]]), 1],
  ] as const)('%s', (unusedName, factors, seed) => {
    expect(summary(factors, seed)).toMatchSnapshot();
  });
});
