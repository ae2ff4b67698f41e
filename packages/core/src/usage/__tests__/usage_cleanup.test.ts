import {describe, expect, it} from 'vitest';
import {reviewDropped} from '../usage_cleanup.js';
import type {ReviewedWindows} from '../usage_cleanup.js';

const BOUNDS = {windowMs: 5_000, lateMs: 10_000, leaseMs: 3_000};
const RECORD = {counts: {growers: 3}, era: 0};
/** The end of window 99. */
const END = 500_000;
const MONTH_MS = 30 * 86_400_000;

const REVIEWED: ReviewedWindows = {
  reviewedTo: 94,
  records: new Map([
    [95, RECORD],
    [98, RECORD],
  ]),
  settled: new Set([98]),
  firstRecordable: 99,
};

describe('reviewDropped', () => {
  // Guards against a window that is given up without a count, twice, or though
  // it was accepted, and against a loop and a log line for each window of a jump
  // of the wall clock: a jump by years blocks the process.
  it.each([
    ['nothing is too old', REVIEWED, END - 5_000],
    ['one window is too old', REVIEWED, END],
    ['one was accepted, one not recorded', REVIEWED, END + 20_000],
    ['a new holder', {...REVIEWED, reviewedTo: undefined}, END + 20_000],
    ['a small step back', {...REVIEWED, reviewedTo: 96}, END + 1_000],
    ['a jump forward by a month', REVIEWED, END + MONTH_MS],
    ['a jump back by a month', {...REVIEWED, reviewedTo: 600_000}, END],
  ])('%s', (unusedName, reviewed, wallMs) => {
    expect(reviewDropped(reviewed, BOUNDS, wallMs)).toMatchSnapshot();
  });
});
