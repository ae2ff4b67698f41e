import {describe, expect, it} from 'vitest';
import type {IrregularLine} from '@pistachiorill/platform/standins';
import {checkLines} from '../check_lines.js';

const LINE: IrregularLine = {
  kind: 'close-request',
  address: 'host:1',
  word: 'WORD',
  lastId: 'r1',
  at: 100.4,
};

const CASES: ReadonlyArray<readonly [string, Partial<IrregularLine>]> = [
  ['a request to close', {}],
  ['a response to nothing', {kind: 'response-to-nothing'}],
  ['a response before any request', {kind: 'response-to-nothing', lastId: ''}],
  ['a second outcome', {kind: 'second-outcome'}],
  ['no outcome', {kind: 'no-outcome'}],
];

describe('checkLines', () => {
  // Guards against a VM whose request to close is mistaken for an answer, and
  // against a check that reports what the protocol allows.
  it.each(CASES)('%s', (unusedName, line) => {
    const irregularLines = [{...LINE, ...line}];
    const violations = checkLines({irregularLines}, () => 'vm-1');
    expect(violations).toMatchSnapshot();
  });
});
