import {describe, expect, it} from 'vitest';
import {decideClockTrust} from '../clock_trust.js';
import type {ClockEvidence} from '../clock_trust.js';

const ALONE: ClockEvidence = {
  peers: 'not-confirmed',
  ownOffset: 500_100,
  storeClock: {minOffset: 95, maxOffset: 105},
  era: 0,
  newest: {counts: {}, era: 0, wallOffset: 499_000},
};

describe('decideClockTrust', () => {
  // Guards against a wrong clock that records when no VM answers, and against a
  // fleet without reports because half of its VMs are dead.
  it.each([
    ['confirmed', {...ALONE, peers: 'confirmed'}],
    ['agrees with the newest record', ALONE],
    ['disagrees with the newest record', {...ALONE, ownOffset: 507_100}],
    ['no record', {...ALONE, newest: undefined}],
    ['record of another era', {...ALONE, era: 1}],
    ['record without offset', {...ALONE, newest: {counts: {}, era: 0}}],
    [
      'store clock not known',
      {...ALONE, storeClock: {minOffset: -Infinity, maxOffset: Infinity}},
    ],
  ] satisfies ReadonlyArray<readonly [string, ClockEvidence]>)(
    '%s',
    (unusedName, evidence) => {
      expect(decideClockTrust(evidence)).toMatchSnapshot();
    },
  );
});
