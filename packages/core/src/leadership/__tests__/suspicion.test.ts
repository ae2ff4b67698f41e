import {describe, expect, it} from 'vitest';
import {judgeSuspicion} from '../suspicion.js';
import type {PrimarySighting} from '../suspicion.js';

type View = PrimarySighting | 'vm-down';

function views(counts: Partial<Record<View, number>>): View[] {
  return Object.entries(counts).flatMap(([view, count]) =>
    new Array<View>(count).fill(view as View),
  );
}

const CASES: ReadonlyArray<readonly [string, Partial<Record<View, number>>]> = [
  ['two VMs of a data centre that is cut off', {unreachable: 2, unknown: 6}],
  ['half of the VMs, the others silent', {unreachable: 4, unknown: 4}],
  ['all VMs', {unreachable: 8}],
  ['some VMs reach it', {unreachable: 4, reachable: 4}],
  ['most VMs do not reach it', {unreachable: 5, reachable: 3}],
  ['others are down', {unreachable: 3, 'vm-down': 5}],
  [
    'a partition refuses connections to all others',
    {unreachable: 1, 'vm-down': 5},
  ],
  ['one of three', {unreachable: 1, unknown: 2}],
  ['the only VM', {unreachable: 1}],
  ['one of two, the other silent', {unreachable: 1, unknown: 1}],
];

describe('judgeSuspicion', () => {
  // Guards against a change of primary by VMs that are themselves cut off.
  it.each(CASES)('%s', (unusedName, counts) => {
    expect(judgeSuspicion(views(counts))).toMatchSnapshot();
  });
});
