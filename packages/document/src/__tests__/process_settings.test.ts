import {readFileSync} from 'node:fs';
import {expect, it} from 'vitest';
import {formatDocumentError, parseProcessSettings} from '../index.js';

// Guards against a VM that starts with misread settings, and against a report
// that stops at the first error.
it.each(['good_settings', 'bad_settings'])('parses %s', name => {
  const url = new URL(`./__fixtures__/${name}.ini`, import.meta.url);
  const parsed = parseProcessSettings(readFileSync(url, 'utf8'));
  expect(
    parsed.ok ? parsed.value : parsed.err.map(formatDocumentError),
  ).toMatchSnapshot();
});
