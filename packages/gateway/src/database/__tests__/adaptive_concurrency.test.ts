import {describe, expect, it} from 'vitest';
import {simulateLoad} from '../../testing/simulated_load.js';
import type {SimulatedLoad} from '../../testing/simulated_load.js';

const READS = {
  name: 'reads',
  requirement: 'recent',
  priority: 1,
  perSecond: 500,
  serviceMs: 14,
  targetMs: 201,
  deadlineMs: 1_203,
} as const;
const GROUP = {a: 'a:1', b: 'b:1', c: 'c:1'};
const LOAD: Omit<SimulatedLoad, 'decisions'> = {
  seed: 1,
  vms: 83,
  slots: 4,
  kinds: [READS],
  durationMs: 8_000,
  listings: [
    {at: 0, members: GROUP},
    {at: 1_000, members: {...GROUP, c: 'c:2'}},
  ],
  // The first 200 statements of the restarted member take eight times as long.
  slowness: (address, executed) =>
    address === 'c:2' && executed < 200 ? 8 : 1,
};
const OUTAGE = {address: 'c:1', from: 1_000, to: 3_000};
const CASES: ReadonlyArray<
  readonly [string, Omit<SimulatedLoad, 'decisions'>]
> = [
  ['a replica restarts cold', LOAD],
  ['a replica restarts cold, 8 VMs', {...LOAD, vms: 8}],
  [
    'a replica recovers cold',
    {
      ...LOAD,
      listings: [{at: 0, members: GROUP}],
      outage: OUTAGE,
      slowness: (unusedAddress, executed, restarts) =>
        restarts > 0 && executed < 200 ? 8 : 1,
    },
  ],
  [
    'the only member starts cold, 8 VMs',
    {
      ...LOAD,
      vms: 8,
      kinds: [{...READS, requirement: 'primary', perSecond: 210}],
      listings: [
        {at: 0, members: {b: 'b:1'}},
        {at: 1, members: {a: 'a:1'}},
      ],
      slowness: (unusedAddress, executed) => (executed < 200 ? 4 : 1),
    },
  ],
];

describe('the concurrency limit of a member', () => {
  // Guards against a member that is flooded by all VMs as soon as it is listed
  // or responds again, so that it refuses statements that others could serve.
  it.each(CASES)(
    'compared with the former decisions: %s',
    (unusedName, load) => {
      const before = simulateLoad({...load, decisions: 'before'})['reads'];
      const now = simulateLoad({...load, decisions: 'now'})['reads'];
      expect({before, now}).toMatchSnapshot();
      if (!before || !now) throw new Error('no outcomes');
      expect(now.busy).toBeLessThanOrEqual(before.busy / 20);
      expect(now.inTime + now.late).toBeGreaterThanOrEqual(
        before.inTime + before.late,
      );
      // A single member is too slow for the load at first, and who waits is late.
      if (load.listings[0]?.members === GROUP) {
        expect(now.inTime).toBeGreaterThanOrEqual(before.inTime);
      }
    },
  );
});
