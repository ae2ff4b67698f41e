import {describe, expect, it} from 'vitest';
import {checkHistory, violationCount} from '../check_history.js';
import type {
  HistoryEvent,
  ReadEvent,
  TransactionEvent,
  WriteOutcome,
} from '../history_event.js';

function write(
  name: string,
  outcome: WriteOutcome,
  endedAt = 10,
  session = 'a',
): HistoryEvent {
  return {kind: 'write', write: name, session, outcome, startedAt: 0, endedAt};
}

function read(changes: Partial<ReadEvent>): HistoryEvent {
  return {
    kind: 'read',
    session: 'b',
    startedAt: 100,
    endedAt: 110,
    value: 'r1',
    answeredValue: 'r1',
    target: 'w1',
    found: 0,
    maxAgeMs: 0,
    ...changes,
  };
}

function transaction(changes: Partial<TransactionEvent>): HistoryEvent {
  return {
    kind: 'transaction',
    session: 'a',
    startedAt: 0,
    endedAt: 10,
    writes: ['t1', 't2'],
    outcome: 'acknowledged',
    beforeCommit: 'running',
    ...changes,
  };
}

const CASES: ReadonlyArray<
  readonly [string, readonly HistoryEvent[], Record<string, number>]
> = [
  [
    'a correct history has no violation',
    [write('w1', 'acknowledged'), read({found: 1}), transaction({})],
    {w1: 1, t1: 1, t2: 1},
  ],
  ['an acknowledged write that is absent', [write('w1', 'acknowledged')], {}],
  [
    'a write that is present twice',
    [write('w1', 'unknown'), write('w1', 'acknowledged', 20)],
    {w1: 2},
  ],
  [
    'an unknown write may be present or absent',
    [write('w1', 'unknown'), write('w2', 'unknown')],
    {w1: 1},
  ],
  ['an unknown write that is present twice', [write('w1', 'unknown')], {w1: 2}],
  [
    'a resent write that was refused stays unknown',
    [write('w1', 'unknown'), write('w1', 'not-run', 20)],
    {w1: 1},
  ],
  ['a refused write that is present', [write('w1', 'not-run')], {w1: 1}],
  ['a failed write that is present', [write('w1', 'failed')], {w1: 1}],
  [
    'a strict read that misses an older write',
    [write('w1', 'acknowledged'), read({})],
    {w1: 1},
  ],
  [
    'a strict read that overlaps the write',
    [write('w1', 'acknowledged', 105), read({})],
    {w1: 1},
  ],
  [
    'a stale read within its age',
    [write('w1', 'acknowledged', 60), read({maxAgeMs: 50})],
    {w1: 1},
  ],
  [
    'a stale read beyond its age',
    [write('w1', 'acknowledged', 40), read({maxAgeMs: 50})],
    {w1: 1},
  ],
  [
    'a session that misses its own write within the age',
    [write('w1', 'acknowledged', 90), read({session: 'a', maxAgeMs: 1_000})],
    {w1: 1},
  ],
  ['an answer to another request', [read({answeredValue: 'r2'})], {}],
  [
    'a commit acknowledged after the transaction was lost',
    [transaction({beforeCommit: 'lost'})],
    {t1: 1, t2: 1},
  ],
  ['half a transaction', [transaction({outcome: 'unknown'})], {t1: 1}],
  [
    'a refused transaction that is present',
    [transaction({outcome: 'not-run', beforeCommit: 'lost'})],
    {t1: 1, t2: 1},
  ],
];

// Guards against a checker that accepts an incorrect history or rejects a
// correct one.
describe('checkHistory', () => {
  it.each(CASES)('%s', (unusedName, history, contents) => {
    const result = checkHistory(history, new Map(Object.entries(contents)));
    expect({
      count: violationCount(result),
      examples: result.examples,
    }).toMatchSnapshot();
  });
});
