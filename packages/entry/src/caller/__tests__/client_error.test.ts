import {readFileSync} from 'node:fs';
import type {Refusal} from '@pistachiorill/core';
import {expect, it} from 'vitest';
import {toClientError} from '../client_error.js';

const ROW = /^\| `([a-z-]+)` \| (\d+) \| (\w+) \| ([a-z ]+) \|/gm;

// Guards against an operators’ guide that documents other codes or outcomes
// than those that callers receive.
it('sends the codes and outcomes that the operators’ guide documents', () => {
  const guide = readFileSync(
    new URL('../../../../../docs/operators/errors.md', import.meta.url),
    'utf8',
  );
  const rows = [...guide.matchAll(ROW)].map(([, kind, errno, state, outcome]) =>
    [kind, errno, state, outcome].join(' '),
  );
  const sent = rows.map(row => {
    const kind = row.split(' ')[0] as Exclude<Refusal['kind'], 'backend-error'>;
    const err = toClientError({kind, detail: ''});
    const outcome = err.message.split(':')[0];
    return [kind, err.errno, err.sqlState, outcome].join(' ');
  });
  expect(rows).toHaveLength(15);
  expect(rows).toEqual(sent);
});
