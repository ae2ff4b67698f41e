import {describe, expect, it} from 'vitest';
import {ENTRY_REWRITE_MS, decideEntry} from '../decide_entry.js';
import type {EntryOrder, KnownEntry} from '../decide_entry.js';
import {composeVersion} from '../store_version.js';

const READ_AT = 1_000;
const ERA = {readAt: READ_AT, version: composeVersion(1, 80)};
const COPIED = composeVersion(1, 70);
const WRITTEN = composeVersion(1, 81);
const BEFORE = composeVersion(0, 95);

const CASES: ReadonlyArray<
  readonly [string, EntryOrder, KnownEntry | undefined]
> = [
  ['a first one', {born: 5, seq: 7, version: COPIED}, undefined],
  [
    'an older one of the same start',
    {born: 5, seq: 7, version: COPIED},
    {born: 5, seq: 9, version: BEFORE, presence: 'listed'},
  ],
  [
    'the same one',
    {born: 5, seq: 9, version: COPIED},
    {born: 5, seq: 9, version: BEFORE, presence: 'listed'},
  ],
  [
    'one of an earlier start',
    {born: 3, seq: 90, version: COPIED},
    {born: 5, seq: 2, version: BEFORE, presence: 'listed'},
  ],
  [
    'one of an earlier start by its clock, written since',
    {born: 3, seq: 1, version: WRITTEN},
    {born: 5, seq: 2, version: BEFORE, presence: 'listed'},
  ],
  [
    'one of a later start',
    {born: 8, seq: 1, version: WRITTEN},
    {born: 5, seq: 9, version: BEFORE, presence: 'listed'},
  ],
  [
    'one without a start',
    {born: undefined, seq: 1, version: COPIED},
    {born: 5, seq: 9, version: BEFORE, presence: 'listed'},
  ],
  [
    'a lower count in the same era',
    {born: 5, seq: 7, version: WRITTEN},
    {born: 5, seq: 9, version: COPIED, presence: 'listed'},
  ],
  [
    'the last one of a member that had left',
    {born: 5, seq: 9, version: COPIED},
    {born: 5, seq: 9, version: BEFORE, presence: 'gone'},
  ],
  [
    'a newer one of a member that was missing',
    {born: 5, seq: 10, version: WRITTEN},
    {born: 5, seq: 9, version: BEFORE, presence: 'gone'},
  ],
];

describe('decideEntry', () => {
  // Guards against new work for a member that is leaving or has left, because
  // the store went back to a copy with an older entry, and against an entry that
  // is never used again.
  it.each(CASES)('orders entries: %s', (unusedName, entry, known) => {
    const outcomes = [READ_AT, READ_AT + ENTRY_REWRITE_MS].map(now =>
      decideEntry(entry, known, ERA, now),
    );
    expect(outcomes).toMatchSnapshot();
  });
});
