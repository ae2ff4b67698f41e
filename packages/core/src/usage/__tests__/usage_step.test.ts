import {describe, expect, it} from 'vitest';
import {ReportAttempts} from '../report_attempts.js';
import {sumCounts} from '../usage_counts.js';
import {decideUsageStep, firstRecordable} from '../usage_step.js';
import type {CollectionState, UsageDutyState} from '../usage_step.js';

const BOUNDS = {windowMs: 5_000, lateMs: 10_000, leaseMs: 3_000};
/** The end of window 99. */
const END = 500_000;

const RECORD = {counts: {growers: 3}, era: 0};

const HELD: UsageDutyState = {
  lease: {kind: 'held', leftMs: 5_000},
  records: new Map([[98, RECORD]]),
  settled: new Set([98]),
  failed: new Map(),
  firstRecordable: 99,
  collection: undefined,
  comparison: 'done',
  clock: 'trusted',
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
  ['clock behind', {...HELD, comparison: 'due'}, END - 600_000],
  ['time to collect', HELD, END + 2_500],
  ['collection under way', collecting('under-way'), END + 9_000],
  ['all answered', {...HELD, collection: COLLECTED}, END + 2_600],
  ['all answered, clock not confirmed', untrusted(COLLECTED), END + 2_600],
  ['out of time, clock not confirmed', untrusted(INCOMPLETE), END + 7_000],
  ['some silent', {...HELD, collection: INCOMPLETE}, END + 3_000],
  ['some silent, again', {...HELD, collection: INCOMPLETE}, END + 3_500],
  ['some silent, out of time', {...HELD, collection: INCOMPLETE}, END + 7_000],
  ['collected another window', HELD, END + 7_500],
  ['unsent record', UNSENT, END],
  ['unsent record, lease of 1.5 s', withLease(UNSENT, 4_000), END],
  ['unsent record, refused just now', failedUntil(END + 1), END],
  ['unsent record, collected', failedUntil(END + 9_000), END + 3_000],
  ['one failed, one never sent', failedBesides(97, 99), END],
  ['failed record, time to collect', failedUntil(END), END + 2_500],
  ['two failed records', bothFailed(), END],
  ['unsent record of no use', UNSENT, END + 16_000],
  ['windows of an outage', HELD, END + 60_000],
];

function collecting(state: 'under-way'): UsageDutyState {
  return {...HELD, collection: {window: 99, state, retryAt: 0}};
}

/** The report of window 98 failed and may be sent again at `retryAt`. */
function failedUntil(retryAt: number): UsageDutyState {
  return {...UNSENT, failed: new Map([[98, {failures: 1, retryAt}]])};
}

function failedBesides(failed: number, neverSent: number): UsageDutyState {
  const records = new Map([
    [failed, RECORD],
    [neverSent, RECORD],
  ]);
  const failure = {failures: 1, retryAt: END};
  return {...UNSENT, records, failed: new Map([[failed, failure]])};
}

function bothFailed(): UsageDutyState {
  const failure = {failures: 1, retryAt: END};
  const duty = failedBesides(97, 99);
  return {...duty, failed: new Map([...duty.failed, [99, failure]])};
}

function untrusted(collection: CollectionState): UsageDutyState {
  const retryAt = END + 3_000;
  const clock = 'untrusted';
  return {...HELD, clock, collection: {...collection, retryAt}};
}

function withLease(duty: UsageDutyState, leftMs: number): UsageDutyState {
  return {...duty, lease: {kind: 'held', leftMs}};
}

describe('decideUsageStep', () => {
  // Guards against reports without a lease that outlasts them, counts that are
  // recorded before the VMs answered or too late, and windows out of order.
  it.each(CASES)('%s', (unusedName, duty, wallMs) => {
    const time = {wallMs, now: wallMs};
    expect(decideUsageStep(duty, BOUNDS, time)).toMatchSnapshot();
  });

  // Guards against one report without an answer that delays all later ones
  // until they are late.
  it('sends each window before it is due though no call is answered', () => {
    const records = new Map([[98, RECORD]]);
    const firstSent = new Map<number, number>();
    const attempts = new ReportAttempts();
    for (let now = END; now < END + 60_000; now += 200) {
      // Each window is recorded 3 s after its end.
      const ended = Math.floor((now - 3_000) / 5_000) - 1;
      for (let window = 99; window <= ended; window++) {
        records.set(window, RECORD);
      }
      const {settled, failed} = attempts;
      const duty = {...HELD, settled, failed, records};
      const step = decideUsageStep(duty, BOUNDS, {wallMs: now, now});
      if (step.kind !== 'send') continue;
      if (!firstSent.has(step.window)) firstSent.set(step.window, now);
      // The time limit of a call.
      now += 1_000;
      attempts.noteFailure(step.window, now);
    }
    const late = [...firstSent].filter(
      ([window, at]) => at > (window + 1) * 5_000 + 10_000,
    );
    expect({late, windows: firstSent.size}).toMatchSnapshot();
  });

  // Guards against a step of the wall clock that holds a failed report back.
  it('measures the pause after a failure by the steady clock', () => {
    const duty = failedUntil(END);
    const time = {wallMs: END - 10_000, now: END};
    expect(decideUsageStep(duty, BOUNDS, time)).toMatchSnapshot();
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
