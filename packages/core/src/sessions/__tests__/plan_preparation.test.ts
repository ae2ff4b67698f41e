import {describe, expect, it} from 'vitest';
import {
  EMPTY_SESSION_STATE,
  applyPreparationStep,
  planPreparation,
  haveSameValues,
} from '../plan_preparation.js';
import type {ConnectionSessionState} from '../plan_preparation.js';
import type {PreparedStatement} from '../prepared_statement.js';

const READ: PreparedStatement = {access: 'read', shape: 'q1'};
const WRITE: PreparedStatement = {access: 'write', shape: 'q1'};

const USED: ConnectionSessionState = {
  values: new Map([
    ['lang', 'tw'],
    ['zone', '8'],
  ]),
  preparedNames: new Set(['r_q1']),
};

const CASES: ReadonlyArray<
  readonly [
    string,
    ConnectionSessionState,
    Array<readonly [string, string]>,
    PreparedStatement | undefined,
  ]
> = [
  [
    'does nothing on a new connection for a session without values',
    EMPTY_SESSION_STATE,
    [],
    undefined,
  ],
  [
    'sets the values and prepares the statement on a new connection',
    EMPTY_SESSION_STATE,
    [['lang', 'tw']],
    READ,
  ],
  [
    'does nothing if the values and the statement are present',
    USED,
    [
      ['zone', '8'],
      ['lang', 'tw'],
    ],
    READ,
  ],
  [
    'sets a value that differs',
    USED,
    [
      ['zone', '9'],
      ['lang', 'tw'],
    ],
    undefined,
  ],
  [
    'resets the connection and prepares again to remove one value',
    USED,
    [['lang', 'tw']],
    READ,
  ],
  ['resets the connection to remove all values', USED, [], undefined],
  [
    'prepares the same text once more for another access',
    USED,
    [
      ['zone', '8'],
      ['lang', 'tw'],
    ],
    WRITE,
  ],
];

describe('planPreparation', () => {
  // Guards against a statement that runs with the values of another session or
  // with another prepared statement.
  it.each(CASES)('%s', (unusedName, state, values, statement) => {
    const steps = planPreparation(state, new Map(values), statement);
    const after = steps.reduce(applyPreparationStep, state);
    expect(haveSameValues(after.values, new Map(values))).toBe(true);
    expect(steps).toMatchSnapshot();
  });
});
