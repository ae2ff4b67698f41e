import {describe, expect, it} from 'vitest';
import {sumCounts} from '../usage_counts.js';
import {decideUsageStep, firstRecordable} from '../usage_step.js';
import type {UsageDutyState} from '../usage_step.js';

const BOUNDS = {windowMs: 5_000, lateMs: 10_000, leaseMs: 3_000};
/** The end of window 99. */
const END = 500_000;

const RECORD = {counts: {growers: 3}, era: 0};

const HELD: UsageDutyState = {
  lease: {kind: 'held', leftMs: 5_000},
  records: new Map([[98, RECORD]]),
  settled: new Set([98]),
  resendAt: 0,
  firstRecordable: 99,
  collection: undefined,
};

const COLLECTED = {window: 99, state: 'complete', retryAt: 0} as const;
const INCOMPLETE = {
  window: 99,
  state: 'incomplete',
  retryAt: END + 3_500,
} as const;
const UNSENT = {...HELD, settled: new Set<number>()};

const CASES: ReadonlyArray<readonly [string, UsageDutyState, number]> = [
  ['another holder', {...HELD, lease: {kind: 'not-available'}}, END + 3_000],
  ['no holder', {...HELD, lease: {kind: 'free'}}, END],
  ['lease gets old', {...HELD, lease: {kind: 'held', leftMs: 2_500}}, END],
  ['window still open', HELD, END - 1],
  ['window just ended', HELD, END + 2_000],
  ['time to collect', HELD, END + 2_500],
  ['collection under way', collecting('under-way'), END + 9_000],
  ['all answered', {...HELD, collection: COLLECTED}, END + 2_600],
  ['some silent', {...HELD, collection: INCOMPLETE}, END + 3_000],
  ['some silent, again', {...HELD, collection: INCOMPLETE}, END + 3_500],
  ['some silent, out of time', {...HELD, collection: INCOMPLETE}, END + 7_000],
  ['collected another window', HELD, END + 7_500],
  ['unsent record', UNSENT, END],
  ['unsent record, lease of 1.5 s', withLease(UNSENT, 4_000), END],
  ['unsent record, refused just now', {...UNSENT, resendAt: END + 1}, END],
  ['unsent record, collected', {...UNSENT, resendAt: END + 9_000}, END + 3_000],
  ['unsent record of no use', UNSENT, END + 16_000],
  ['windows of an outage', HELD, END + 60_000],
];

function collecting(state: 'under-way'): UsageDutyState {
  return {...HELD, collection: {window: 99, state, retryAt: 0}};
}

function withLease(duty: UsageDutyState, leftMs: number): UsageDutyState {
  return {...duty, lease: {kind: 'held', leftMs}};
}

describe('decideUsageStep', () => {
  // Guards against reports without a lease that outlasts them, counts that are
  // recorded before the VMs answered or too late, and windows out of order.
  it.each(CASES)('%s', (unusedName, duty, wallMs) => {
    expect(decideUsageStep(duty, BOUNDS, wallMs)).toMatchSnapshot();
  });
});

describe('firstRecordable', () => {
  const START = {startedAt: END + 1, era: 0, eraSeenAt: 0};
  const ofEra = (era: number) => new Map([[98, {counts: {}, era}]]);

  // Guards against a window that is recorded again with other counts, because
  // its row is gone with the lost history or the VM's clock is behind.
  it('is never a window that may have been reported', () => {
    const restored = {...START, era: 1, eraSeenAt: END + 20_000};
    expect({
      firstStart: firstRecordable(new Map(), START, BOUNDS),
      afterRecord: firstRecordable(ofEra(0), START, BOUNDS),
      clockBehind: firstRecordable(ofEra(0), {...START, startedAt: 1}, BOUNDS),
      restored: firstRecordable(ofEra(0), restored, BOUNDS),
      restoredWithoutRows: firstRecordable(new Map(), restored, BOUNDS),
      afterRecordOfEra: firstRecordable(ofEra(1), restored, BOUNDS),
    }).toMatchSnapshot();
  });
});

describe('sumCounts', () => {
  // Guards against a process that counts twice because another VM kept its counts.
  it('takes the latest counts of each process', () => {
    expect(
      sumCounts([
        {vm: 'vm-a', incarnation: '1', counts: {growers: 5, plum: 1}},
        {vm: 'vm-a', incarnation: '1', counts: {growers: 4}},
        {vm: 'vm-a', incarnation: '2', counts: {growers: 2}},
        {vm: 'vm-b', incarnation: '1', counts: {constructor: 1}},
      ]),
    ).toMatchSnapshot();
  });
});
