import {describe, expect, it} from 'vitest';
import {composeVersion} from '../../restore/store_version.js';
import type {
  LeadershipRecord,
  VersionedLeadership,
} from '../leadership_record.js';
import {
  LEADERSHIP_REWRITE_MS,
  isRewriteDue,
  leadershipOfRow,
  newestLeadership,
  supersedesLeadership,
} from '../restored_leadership.js';

const BEFORE = composeVersion(0, 95);
const COPIED = composeVersion(1, 50);
const WRITTEN = composeVersion(1, 81);
const A: LeadershipRecord = {phase: 'settled', primary: 'a'};
const B: LeadershipRecord = {phase: 'settled', primary: 'b'};
const KNOWN = leadershipOfRow(B, {}, BEFORE);
const AGES = [0, LEADERSHIP_REWRITE_MS, LEADERSHIP_REWRITE_MS + 120];

type Known = VersionedLeadership | undefined;

const CASES: ReadonlyArray<readonly [string, Known, Known]> = [
  ['a row of the copy', leadershipOfRow(A, {}, COPIED), KNOWN],
  ['no row in the copy', undefined, KNOWN],
  ['the known row', leadershipOfRow(B, {}, COPIED + 45), KNOWN],
  [
    'a row of the copy, nothing known',
    leadershipOfRow(A, {}, COPIED),
    undefined,
  ],
  [
    'the known record, written again',
    leadershipOfRow(B, {era: 1, origin: BEFORE}, WRITTEN),
    KNOWN,
  ],
  [
    'the record of the copy, written again',
    leadershipOfRow(A, {era: 1, origin: 50}, WRITTEN),
    KNOWN,
  ],
  ['a new record', leadershipOfRow(A, {era: 1}, WRITTEN), KNOWN],
];

describe('leadership after the store went back to a copy', () => {
  // Guards against the use of a replaced primary, because the copy lacks the
  // record of its successor.
  it.each(CASES)('keeps the newest record: %s', (unusedName, row, known) => {
    const newest = newestLeadership(row, known, WRITTEN);
    const dueAfter = AGES.map(age => newest && isRewriteDue(newest, age, 120));
    const replacesKnown = row && known && supersedesLeadership(row, known);
    const isReplaced = row && known && supersedesLeadership(known, row);
    expect({newest, dueAfter, replacesKnown, isReplaced}).toMatchSnapshot();
  });
});
