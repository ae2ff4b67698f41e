import {describe, expect, it} from 'vitest';
import {changedCounts, needsBackup} from '../counts_backup.js';
import type {CountsByWindow} from '../counts_backup.js';
import type {WorkspaceCounts} from '../usage_counts.js';

const COUNTS: CountsByWindow = new Map<number, WorkspaceCounts>([
  [99, {growers: 5, plum: 1}],
  [100, {growers: 20}],
]);

describe('needsBackup', () => {
  // Guards against a VM that takes a large part of a report's counts with it, and
  // against calls for counts that do not matter.
  it('is for each VM of a small fleet, and for those with many counts', () => {
    expect({
      small: needsBackup(new Map(), 12),
      largeFew: needsBackup(new Map([[99, {growers: 19}]]), 13),
      largeMany: needsBackup(COUNTS, 13),
    }).toMatchSnapshot();
  });
});

describe('changedCounts', () => {
  // Guards against a backup that lacks a change, or repeats what did not change.
  it('leaves out what is kept already', () => {
    const kept = new Map([[99, {growers: 5}]]);
    expect([...changedCounts(COUNTS, kept)]).toMatchSnapshot();
  });
});
