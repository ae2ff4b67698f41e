import {describe, expect, it} from 'vitest';
import {decodeSessionToken, encodeSessionToken} from '../session_token.js';

const VERIFIER = 'a'.repeat(40);
const SEEN = new Map([['ledger-1', {term: 3, position: 41}]]);

describe('session token', () => {
  const token = encodeSessionToken('co-op', SEEN, VERIFIER);
  const bytes = Buffer.from(token, 'base64url');
  bytes[bytes.length - 2] = (bytes[bytes.length - 2] as number) ^ 1;

  const cases: ReadonlyArray<readonly [string, string, string, string[]]> = [
    ['own', token, 'co-op', [VERIFIER]],
    ['one of several keys', token, 'co-op', ['b'.repeat(40), VERIFIER]],
    ['another workspace', token, 'dairy', [VERIFIER]],
    ['withdrawn key', token, 'co-op', ['b'.repeat(40)]],
    ['workspace without keys', token, 'co-op', []],
    ['changed', bytes.toString('base64url'), 'co-op', [VERIFIER]],
    ['truncated', token.slice(0, 10), 'co-op', [VERIFIER]],
    ['not a token', '%%%', 'co-op', [VERIFIER]],
  ];

  // Guards against the use of a forged token or one of another workspace.
  it.each(cases)(
    'is valid only for its workspace and keys: %s',
    (unusedName, text, workspace, verifiers) => {
      expect(decodeSessionToken(text, workspace, verifiers)).toMatchSnapshot();
    },
  );
});
