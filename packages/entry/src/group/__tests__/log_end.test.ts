import {describe, expect, it} from 'vitest';
import {decodeLogEnd} from '../log_end.js';

const CASES: ReadonlyArray<readonly [string, readonly string[]]> = [
  ['primary with an entry of its term', ['primary', '4', '4', '9']],
  ['primary without an entry of its term', ['primary', '4', '3', '8']],
  ['replica that dropped the write', ['replica', '5', '4', '8']],
  ['primary again in a later term', ['primary', '6', '6', '12']],
];

describe('decodeLogEnd', () => {
  // Guards against acknowledging a write that was lost because its primary was
  // replaced, and dropped it, before the log position was read.
  it.each(CASES)('%s', (unusedName, row) => {
    const result = {
      kind: 'rows' as const,
      columns: [],
      rows: [row.map(value => Buffer.from(value))],
    };
    expect(decodeLogEnd(result, 4)).toMatchSnapshot();
  });
});
