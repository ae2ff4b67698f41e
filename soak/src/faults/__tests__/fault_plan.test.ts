import {describe, expect, it} from 'vitest';
import {FAULT_KINDS, planFaults} from '../fault_plan.js';

describe('planFaults', () => {
  // Guards against a run that its seed does not reproduce.
  it('draws the same faults from a seed', () => {
    expect(planFaults(7, 12_000)).toMatchSnapshot();
    expect(planFaults(7, 12_000)).toEqual(planFaults(7, 12_000));
  });

  // Guards against a fault kind that is never drawn.
  it('draws every kind within fifty seeds', () => {
    const seen = new Set<string>();
    for (let seed = 1; seed <= 50; seed++) {
      for (const {kind} of planFaults(seed, 12_000)) seen.add(kind);
    }
    expect([...seen].sort()).toEqual([...FAULT_KINDS].sort());
  });
});
