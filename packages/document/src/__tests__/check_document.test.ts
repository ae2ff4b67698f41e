import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {
  checkDocument,
  compareDocuments,
  formatChange,
  formatDocumentError,
  parseDocument,
} from '../index.js';

function fixture(name: string): string {
  const url = new URL(`./__fixtures__/${name}.ini`, import.meta.url);
  return readFileSync(url, 'utf8');
}

function check(text: string) {
  const {errors, warnings} = checkDocument(text, ['trial', 'production']);
  return {
    errors: errors.map(err => `${err.kind}: ${formatDocumentError(err)}`),
    warnings: warnings.map(formatDocumentError),
  };
}

describe('checkDocument', () => {
  // Guards against an invalid document that is accepted, and against a report
  // that stops at the first error or shows a secret.
  it.each(['small', 'bad_syntax', 'bad_values', 'bad_references', 'warnings'])(
    'reports every error of %s',
    name => {
      expect(check(fixture(name))).toMatchSnapshot();
    },
  );

  // Guards against an empty file that removes every key and database.
  it('rejects an empty document', () => {
    expect(check('')).toMatchSnapshot();
  });

  // Guards against documented examples that the program rejects.
  it.each(['authority', 'leafmark'])('accepts the example of %s', name => {
    const url = new URL(
      `../../../../docs/examples/${name}.ini`,
      import.meta.url,
    );
    expect(check(readFileSync(url, 'utf8'))).toEqual({
      errors: [],
      warnings: [],
    });
  });
});

describe('parseDocument', () => {
  // Guards against values that are converted incorrectly for the daemon.
  it('builds the configuration of an environment', () => {
    expect(parseDocument(fixture('small'), 'production')).toMatchSnapshot();
  });

  // Guards against a previous key that remains valid after its verifier was
  // replaced under the same name.
  it('changes the grant id with the verifier', () => {
    const ids = ['small', 'changed'].map(name => {
      const parsed = parseDocument(fixture(name), 'trial');
      return parsed.ok && parsed.value.workspaces[0]?.keys[0]?.id;
    });
    expect(new Set(ids).size).toBe(2);
  });
});

describe('compareDocuments', () => {
  // Guards against a change that is not shown to the operator before the
  // promotion, and against a verifier that is printed.
  it('lists the changes with their reasons', () => {
    const [before, after] = ['small', 'changed'].map(
      name => checkDocument(fixture(name), []).sections,
    );
    if (!before || !after) throw new Error('the fixtures are missing');
    expect(compareDocuments(before, after).map(formatChange)).toMatchSnapshot();
    expect(compareDocuments(after, after)).toEqual([]);
  });
});
