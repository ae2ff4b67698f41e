import {Random} from '@pistachiorill/core';
import {describe, expect, it} from 'vitest';
import {TableCopy} from '../table_copy.js';
import type {TableRow} from '../transactional_store.js';

function row(key: string, version: number): TableRow {
  return {key, value: `${key}${version}`, version};
}

type Step = (copy: TableCopy) => unknown;

const read =
  (version: number, ...rows: readonly TableRow[]): Step =>
  copy =>
    copy.replace({version, rows});
const change =
  (
    version: number,
    rows: readonly TableRow[],
    ...removed: readonly string[]
  ): Step =>
  copy =>
    copy.update({version, rows, removed});
const write =
  (item: TableRow): Step =>
  copy =>
    copy.put(item);

const CASES: ReadonlyArray<readonly [string, readonly Step[]]> = [
  ['changes after a read', [read(5, row('a', 3)), change(7, [row('b', 7)])]],
  ['a removal', [read(5, row('a', 3)), change(7, [], 'a')]],
  ['a newer read', [read(5, row('a', 3), row('b', 4)), read(9, row('b', 8))]],
  ['a read of the same version', [read(5, row('a', 3)), read(5, row('a', 3))]],
  ['an older read', [read(5, row('a', 5)), read(4, row('a', 3))]],
  [
    'a read that is older than changes',
    [
      read(5, row('a', 3)),
      change(7, [row('a', 7)]),
      read(6, row('a', 3)),
      change(8, [row('b', 8)]),
    ],
  ],
  [
    'older rows at the newest version',
    [read(5, row('a', 5)), read(6, row('a', 3))],
  ],
  ['older changes', [read(5, row('a', 5)), change(4, [row('a', 4)])]],
  [
    'a read that misses an own write',
    [read(5), write(row('a', 8)), read(6, row('a', 4))],
  ],
  [
    'a read that misses a new own row',
    [read(5), write(row('a', 8)), read(6, row('b', 2))],
  ],
  [
    'a removal that is older than an own write',
    [read(5, row('a', 3)), write(row('a', 8)), change(7, [], 'a')],
  ],
];

describe('TableCopy', () => {
  // Guards against older rows that replace newer ones, and against a version
  // for which the copy lacks rows.
  it.each(CASES)('keeps the newest rows: %s', (unusedName, steps) => {
    const copy = new TableCopy();
    const outcomes = steps.map(step => step(copy) ?? 'written');
    const rows = copy.values().map(item => item.value);
    expect({outcomes, rows, version: copy.version}).toMatchSnapshot();
  });

  // Guards against a row that a follower misses or keeps, because it receives
  // only what changed after its own version.
  it('is the same for a follower that receives its changes', () => {
    for (let seed = 1; seed <= 200; seed++) {
      const random = new Random(seed);
      const leader = new TableCopy();
      const follower = new TableCopy();
      let version = 1;
      for (let step = 0; step < 60; step++) {
        const key = `row-${Math.floor(random.fraction() * 5)}`;
        const kind = random.fraction();
        version += 1 + Math.floor(random.fraction() * 3);
        if (kind < 0.05) leader.replace({version, rows: [row(key, version)]});
        else if (kind < 0.4) leader.update({version, rows: [], removed: [key]});
        else leader.update({version, rows: [row(key, version)], removed: []});
        if (random.fraction() < 0.5) continue;
        const {after, ...changes} = leader.changesAfter(follower.version);
        if (after === 0) follower.replace(changes);
        else follower.update(changes);
        const sorted = (copy: TableCopy): string[] =>
          copy
            .values()
            .map(item => item.value)
            .sort();
        expect({seed, rows: sorted(follower)}).toEqual({
          seed,
          rows: sorted(leader),
        });
      }
    }
  });
});
