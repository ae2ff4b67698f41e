import {describe, expect, it} from 'vitest';
import {decodeSessionToken, encodeSessionToken} from '../session_token.js';

const VERIFIER = 'a'.repeat(40);
const SEEN = new Map([['ledger-1', {term: 3, position: 41}]]);

describe('session token', () => {
  const token = encodeSessionToken('co-op', SEEN, VERIFIER);
  const bytes = Buffer.from(token, 'base64url');
  bytes[bytes.length - 2] = (bytes[bytes.length - 2] as number) ^ 1;

  const cases: ReadonlyArray<readonly [string, string, string, string[]]> = [
    ['is accepted from its workspace', token, 'co-op', [VERIFIER]],
    [
      'is accepted if signed with one of several keys',
      token,
      'co-op',
      ['b'.repeat(40), VERIFIER],
    ],
    ['is rejected from another workspace', token, 'dairy', [VERIFIER]],
    [
      'is rejected if signed with a withdrawn key',
      token,
      'co-op',
      ['b'.repeat(40)],
    ],
    ['is rejected if the workspace has no keys', token, 'co-op', []],
    [
      'is rejected if altered',
      bytes.toString('base64url'),
      'co-op',
      [VERIFIER],
    ],
    ['is rejected if truncated', token.slice(0, 10), 'co-op', [VERIFIER]],
    ['is rejected if not a token', '%%%', 'co-op', [VERIFIER]],
  ];

  // Guards against the use of a forged token or one of another workspace.
  it.each(cases)('%s', (unusedName, text, workspace, verifiers) => {
    expect(decodeSessionToken(text, workspace, verifiers)).toMatchSnapshot();
  });
});
