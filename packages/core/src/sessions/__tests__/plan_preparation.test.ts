import {describe, expect, it} from 'vitest';
import {
  EMPTY_CONTENTS,
  afterPreparation,
  planPreparation,
  sameValues,
} from '../plan_preparation.js';
import type {ConnectionContents} from '../plan_preparation.js';
import type {PreparedStatement} from '../prepared_statement.js';

const READ: PreparedStatement = {access: 'read', shape: 'q1'};
const WRITE: PreparedStatement = {access: 'write', shape: 'q1'};

const USED: ConnectionContents = {
  values: new Map([
    ['lang', 'tw'],
    ['zone', '8'],
  ]),
  prepared: new Set(['r_q1']),
};

const CASES: ReadonlyArray<
  readonly [
    string,
    ConnectionContents,
    Array<readonly [string, string]>,
    PreparedStatement | undefined,
  ]
> = [
  ['new connection, plain session', EMPTY_CONTENTS, [], undefined],
  ['new connection, values', EMPTY_CONTENTS, [['lang', 'tw']], READ],
  [
    'same values',
    USED,
    [
      ['zone', '8'],
      ['lang', 'tw'],
    ],
    READ,
  ],
  [
    'changed value',
    USED,
    [
      ['zone', '9'],
      ['lang', 'tw'],
    ],
    undefined,
  ],
  ['value left over', USED, [['lang', 'tw']], READ],
  ['all values left over', USED, [], undefined],
  [
    'same shape, other access',
    USED,
    [
      ['zone', '8'],
      ['lang', 'tw'],
    ],
    WRITE,
  ],
];

describe('planPreparation', () => {
  // Guards against a statement that runs under another session's values or
  // with a prepared statement of another shape.
  it.each(CASES)('%s', (unusedName, contents, values, statement) => {
    const steps = planPreparation(contents, new Map(values), statement);
    const after = steps.reduce(afterPreparation, contents);
    expect(sameValues(after.values, new Map(values))).toBe(true);
    expect(steps).toMatchSnapshot();
  });
});
