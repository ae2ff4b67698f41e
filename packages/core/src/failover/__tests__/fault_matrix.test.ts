import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FAULT_KINDS, STEPS} from '../__fixtures__/failover_scenario.js';
import type {Scenario} from '../__fixtures__/failover_scenario.js';
import {FakeFleet} from '../__fixtures__/fake_fleet.js';

const SEED = 20_261;
const PAIR_RUNS = 150;

const MATRIX = FAULT_KINDS.flatMap(kind => STEPS.map(step => ({kind, step})));

const SCENARIOS: readonly Scenario[] = [
  'primary-lost',
  'one-partition',
  'two-partitions',
  'one-data-centre',
  'new-group',
  'planned-move',
  'busy-planned-move',
  'late-planned-move',
  'stuck-planned-move',
  'lagging-planned-move',
];

describe('failover under faults', () => {
  // Guards against a failover that a single partition triggers, against one
  // that never starts, and against a switchover that aborts a transaction.
  it.each(SCENARIOS)('%s', scenario => {
    const fleet = new FakeFleet([], SEED, scenario);
    expect(fleet.run()).toMatchSnapshot();
  });

  // Guards against two members that accept writes in the same term, against the
  // loss of a write that a majority held, and against an attempt that never
  // ends.
  it('survives each fault at each step', () => {
    const outcomes = MATRIX.map(fault => {
      const runResult = new FakeFleet([fault], SEED).run();
      const {violations, gapMs, finalTerm} = runResult;
      const result = violations.length === 0 ? 'ok' : violations.join('; ');
      return `${fault.kind} at ${fault.step}: ${result}, term ${finalTerm}, gap ${gapMs} ms`;
    });
    expect(outcomes).toMatchSnapshot();
  });

  // Guards against two primaries in one term, lost writes and attempts that
  // never end when two faults coincide.
  it('survives pairs of faults', () => {
    const fault = fc.constantFrom(...MATRIX);
    fc.assert(
      fc.property(
        fault,
        fault,
        fc.integer({min: 0, max: 999}),
        (a, b, seed) => {
          expect(new FakeFleet([a, b], seed).run().violations).toEqual([]);
        },
      ),
      {seed: SEED, numRuns: PAIR_RUNS},
    );
  });
});
