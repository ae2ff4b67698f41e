import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {runFaultSchedule} from './fault_schedule.js';
import type {FaultStep} from './fault_schedule.js';

const STEP: fc.Arbitrary<FaultStep> = fc.record({
  afterMs: fc.oneof(
    fc.constantFrom(0, 1, 2, 3),
    fc.integer({min: 0, max: 250}),
    fc.integer({min: 500, max: 4_000}),
  ),
  kind: fc.oneof(
    {weight: 8, arbitrary: fc.constant('statements' as const)},
    {weight: 12, arbitrary: fc.constant('deliver' as const)},
    {weight: 3, arbitrary: fc.constant('tick' as const)},
    {
      weight: 5,
      arbitrary: fc.constantFrom(
        'repeat' as const,
        'lose' as const,
        'restart' as const,
        'pause' as const,
        'unconfirmed' as const,
        'cut' as const,
        'heal' as const,
      ),
    },
  ),
  vm: fc.integer({min: 0, max: 3}),
  amount: fc.integer({min: 1, max: 40}),
});

describe('bound of rate and burst', () => {
  // Guards against share or tokens that two VMs use at the same time.
  it('holds with lost, late and duplicate messages, restarts and pauses', () => {
    fc.assert(
      fc.property(
        fc.integer({min: 1, max: 1_000}),
        fc.array(STEP, {minLength: 20, maxLength: 120}),
        (seed, steps) => {
          expect(runFaultSchedule(seed, steps)).toEqual([]);
        },
      ),
      {seed: 20_261_204, numRuns: 400},
    );
  });
});
