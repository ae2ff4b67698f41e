import {describe, expect, it} from 'vitest';
import {
  addPositionSample,
  laterPosition,
  mergePositionSamples,
  requiredPosition,
} from '../position_samples.js';
import type {PositionSamples} from '../position_samples.js';
import {rankMembersForRead} from '../rank_members.js';
import type {MemberLoad} from '../rank_members.js';

function sampleAt(askedAt: number, term: number, position: number) {
  return {askedAt, end: {term, position}};
}

const SAMPLES = [
  sampleAt(100, 3, 10),
  sampleAt(600, 3, 14),
  sampleAt(1_100, 3, 20),
].reduce(addPositionSample, [] as PositionSamples);

describe('position samples', () => {
  // Guards against a read of data that is older than its route allows.
  it('require the position of the oldest sample within the maximum age', () => {
    expect({
      recent: requiredPosition(SAMPLES, 1_500, 1_600),
      older: requiredPosition(SAMPLES, 600, 1_600),
      tooOld: requiredPosition(SAMPLES, 300, 1_600),
      none: requiredPosition([], 1_500, 1_600),
      newTerm: addPositionSample(SAMPLES, sampleAt(1_200, 4, 2)),
      formerTerm: addPositionSample(SAMPLES, sampleAt(1_200, 2, 99)).length,
      ownCommit: laterPosition(
        {term: 3, position: 14},
        {term: 3, position: 17},
      ),
      ownCommitOfFormerTerm: laterPosition(
        {term: 4, position: 2},
        {term: 3, position: 17},
      ),
    }).toMatchSnapshot();
  });
});

describe('mergePositionSamples', () => {
  // Guards against a position that a read of this age does not have, because a
  // sample of another VM is put out of order or in the place of a later term.
  it('adds the samples of another VM in order', () => {
    expect({
      between: mergePositionSamples(SAMPLES, [sampleAt(800, 3, 15)]),
      before: mergePositionSamples(SAMPLES, [sampleAt(20, 3, 7)]),
      close: mergePositionSamples(SAMPLES, [sampleAt(610, 3, 14)]),
      laterTerm: mergePositionSamples(SAMPLES, [sampleAt(900, 4, 2)]),
      formerTerm: mergePositionSamples(SAMPLES, [sampleAt(900, 2, 99)]).length,
      none: mergePositionSamples([], []),
    }).toMatchSnapshot();
  });
});

const LOAD: MemberLoad = {
  member: 'a',
  role: 'replica',
  proximity: 'same-data-centre',
  inFlight: 0,
  slots: 2,
  meanLatencyMs: 10,
  connection: 'idle',
  applied: {term: 3, position: 20},
  avoidUntil: 0,
};

describe('rankMembersForRead', () => {
  // Guards against reads on members that are far, busy, behind or failing while
  // a better member is available.
  it('orders members by expected cost', () => {
    const members: MemberLoad[] = [
      {...LOAD, member: 'primary', role: 'primary'},
      {...LOAD, member: 'near'},
      {...LOAD, member: 'busy', inFlight: 6},
      {...LOAD, member: 'far', proximity: 'same-region'},
      {...LOAD, member: 'behind', applied: {term: 3, position: 1}},
      {...LOAD, member: 'failing', avoidUntil: 2_000},
    ];
    expect({
      known: rankMembersForRead(members, {term: 3, position: 14}, 1_000),
      unknown: rankMembersForRead(members, undefined, 1_000),
    }).toMatchSnapshot();
  });
});
