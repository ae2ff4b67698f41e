import {describe, expect, it} from 'vitest';
import {evaluateSuspicion} from '../suspicion.js';
import type {PrimaryObservation} from '../suspicion.js';

type Observation = PrimaryObservation | 'vm-down';

function observations(
  counts: Partial<Record<Observation, number>>,
): Observation[] {
  return Object.entries(counts).flatMap(([observation, count]) =>
    new Array<Observation>(count).fill(observation as Observation),
  );
}

const CASES: ReadonlyArray<
  readonly [string, Partial<Record<Observation, number>>]
> = [
  [
    'is kept if two VMs of a data centre are cut off',
    {unreachable: 2, unknown: 6},
  ],
  [
    'is replaced if half of the VMs agree and the others are unresponsive',
    {unreachable: 4, unknown: 4},
  ],
  ['is replaced if no VM reaches it', {unreachable: 8}],
  ['is kept if half of the VMs reach it', {unreachable: 4, reachable: 4}],
  ['is replaced if most VMs do not reach it', {unreachable: 5, reachable: 3}],
  [
    'is replaced if all running VMs agree and the others are down',
    {unreachable: 3, 'vm-down': 5},
  ],
  [
    'is kept if a partition refuses connections to all other VMs',
    {unreachable: 1, 'vm-down': 5},
  ],
  [
    'is kept if one of three VMs does not reach it',
    {unreachable: 1, unknown: 2},
  ],
  ['is replaced if the only VM does not reach it', {unreachable: 1}],
  ['is kept if one of two VMs is unresponsive', {unreachable: 1, unknown: 1}],
];

describe('suspected primary', () => {
  // Guards against a primary change by VMs that are cut off themselves.
  it.each(CASES)('%s', (unusedName, counts) => {
    expect(evaluateSuspicion(observations(counts))).toMatchSnapshot();
  });
});
