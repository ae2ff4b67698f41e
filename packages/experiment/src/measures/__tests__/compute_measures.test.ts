import {describe, expect, it} from 'vitest';
import type {RequestRecord} from '../../load/request_record.js';
import {computeMeasures} from '../compute_measures.js';
import {increaseOf, parseReadCounts} from '../read_counts.js';

function records(
  count: number,
  changes: (index: number) => Partial<RequestRecord>,
): RequestRecord[] {
  return Array.from({length: count}, (unused, index) => ({
    workspace: 'a',
    database: 'd1',
    vm: 'v1',
    kind: 'write' as const,
    rate: 'within' as const,
    plannedAt: index * 100,
    endedAt: index * 100 + 10,
    result: 'answered' as const,
    reason: '',
    interruptions: 0,
    ...changes(index),
  }));
}

const REFUSED = {result: 'refused', reason: 'rate-limited'} as const;

const CASES: ReadonlyArray<readonly [string, RequestRecord[]]> = [
  ['all answered', records(20, () => ({}))],
  [
    'the write service stops for 600 ms',
    records(20, index =>
      index >= 5 && index < 10 ? {result: 'unknown', reason: 'x'} : {},
    ),
  ],
  [
    'a workspace over its rate is compared with its rate only',
    records(20, index => (index % 2 === 0 ? {} : {...REFUSED, rate: 'beyond'})),
  ],
  [
    'one workspace within its rate is refused',
    [
      ...records(20, () => ({})),
      ...records(4, index => (index === 0 ? {} : {...REFUSED, workspace: 'b'})),
    ],
  ],
  [
    'late answers count as answered, but not in time',
    records(20, index => ({endedAt: index * 100 + 800})),
  ],
];

// Guards against a measure that hides refused, late or missing responses.
describe('computeMeasures', () => {
  it.each(CASES)('%s', (unusedName, requests) => {
    const samples = [{at: 500, replica: 30, primary: 10}];
    const window = {fromMs: 0, toMs: 2_000};
    expect(computeMeasures(requests, samples, window)).toMatchSnapshot();
  });
});

// Guards against a negative increase after a VM restart, when the counters
// start at zero again.
describe('read counters', () => {
  it('parses the metrics and computes increases', () => {
    const text =
      '# TYPE pistachiorill_reads_total counter\n' +
      'pistachiorill_reads_total{served_by="replica"} 7\n' +
      'pistachiorill_reads_total{served_by="primary"} 3\n';
    const counts = parseReadCounts(text);
    expect([
      counts,
      increaseOf({replica: 5, primary: 3}, counts),
      increaseOf({replica: 50, primary: 3}, counts),
    ]).toMatchSnapshot();
  });
});
