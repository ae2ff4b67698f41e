import {createHistory} from '@pistachiorill/platform/standins';
import type {ReceivedUsage} from '@pistachiorill/platform/standins';
import {describe, expect, it} from 'vitest';
import {checkUsage, summarizeUsage} from '../check_usage.js';

const REPORT: ReceivedUsage = {
  at: 0,
  holder: 'vm-1',
  fence: 3,
  window: 7,
  counts: {growers: 20},
};

const CASES: ReadonlyArray<readonly [string, Array<Partial<ReceivedUsage>>]> = [
  ['an exact repeat', [{}, {at: 10}]],
  ['other counts', [{}, {at: 10, counts: {growers: 21}}]],
  ['a shared number', [{}, {at: 9_000, holder: 'vm-2'}]],
  ['a lower number', [{}, {at: 9_000, fence: 2}]],
  [
    'holders in turns',
    [{}, {at: 500, holder: 'vm-2', fence: 4}, {at: 1_400, fence: 5}],
  ],
  [
    'a holder that returns later',
    [{}, {at: 500, holder: 'vm-2', fence: 4}, {at: 1_500, fence: 5}],
  ],
];

describe('checkUsage', () => {
  // Guards against a check that misses what the platform never allows.
  it.each(CASES)('%s', (unusedName, reports) => {
    const usageReports = reports.map(item => ({...REPORT, ...item}));
    const context = {leaseMs: 1_000, isExcused: () => false};
    expect(checkUsage({usageReports}, context)).toMatchSnapshot();
  });
});

describe('summarizeUsage', () => {
  // Guards against a figure that does not depend on what members began.
  it.each([19, 21, 22])('compares the reports with %i statements', count => {
    const history = createHistory();
    history.usageReports.push(REPORT);
    for (let i = 0; i < count; i++) {
      history.begunStatements.push({workspace: 'growers', wallMs: 7_000 + i});
    }
    expect(summarizeUsage(history, 1_000)).toMatchSnapshot();
  });
});
