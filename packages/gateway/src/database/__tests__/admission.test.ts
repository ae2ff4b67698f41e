import {describe, expect, it} from 'vitest';
import {simulateLoad} from '../../testing/simulated_load.js';
import type {
  CallerOutcomes,
  RequestKind,
  SimulatedLoad,
} from '../../testing/simulated_load.js';

/** The kinds of requests of deployment Q. */
const KINDS: readonly RequestKind[] = [
  {
    name: 'booking-confirm',
    requirement: 'primary',
    priority: 0,
    perSecond: 0.15,
    serviceMs: 4.5,
    targetMs: 101,
    deadlineMs: 1_206,
  },
  {
    name: 'quote-draft',
    requirement: 'primary',
    priority: 1,
    perSecond: 0.7,
    serviceMs: 14,
    targetMs: 201,
    deadlineMs: 1_203,
  },
  {
    name: 'rate-lookup',
    requirement: 'primary',
    priority: 2,
    perSecond: 0.15,
    serviceMs: 22,
    targetMs: 801,
    deadlineMs: 4_003,
  },
];
/** 4 slots divided by the mean work of 13.8 ms. */
const CAPACITY_PER_S = 290;

function burst(vms: number): Omit<SimulatedLoad, 'decisions'> {
  return {
    seed: 1,
    vms,
    slots: 4,
    kinds: KINDS.map(kind => ({
      ...kind,
      perSecond: kind.perSecond * CAPACITY_PER_S * 0.6,
    })),
    durationMs: 12_000,
    burst: {from: 3_000, to: 9_000, factor: 4},
    listings: [
      {at: 0, members: {b: 'b:1'}},
      {at: 0, members: {a: 'a:1', b: 'b:1'}},
    ],
    slowness: () => 1,
  };
}

/** The share of the callers of a kind that got an answer. */
function servedShare(outcomes: CallerOutcomes | undefined): number {
  if (!outcomes) return 0;
  const {inTime, late, refusedAtOnce, refusedLate} = outcomes;
  return (inTime + late) / (inTime + late + refusedAtOnce + refusedLate);
}

describe('admission at 2.4 times the capacity for six seconds', () => {
  // Guards against urgent statements that are refused or late as less urgent
  // ones fill the queues, and against statements that wait only to be refused.
  it.each([2, 8, 83])('compared with the former one, %i VMs', vms => {
    const load = burst(vms);
    const before = simulateLoad({...load, decisions: 'before'});
    const now = simulateLoad({...load, decisions: 'now'});
    expect({before, now}).toMatchSnapshot();
    const mostUrgent = now['booking-confirm'];
    const leastUrgent = now['rate-lookup'];
    expect(servedShare(mostUrgent)).toBeGreaterThanOrEqual(
      servedShare(leastUrgent),
    );
    expect(mostUrgent?.inTime).toBeGreaterThan(
      before['booking-confirm']?.inTime ?? Infinity,
    );
  });
});
