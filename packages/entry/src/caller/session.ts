import {
  compareLogPosition,
  encodeSessionToken,
  verifiersOf,
} from '@pistachiorill/core';
import type {
  Caller,
  Configuration,
  LogPosition,
  SeenPositions,
  StatementResult,
} from '@pistachiorill/core';

const CHARACTER_SET_UTF8MB4 = 45;
const TYPE_VAR_STRING = 253;
const TOKEN_COLUMN = '@@pistachiorill_session';

/** Adds a log position to those that a session has seen, if it is newer. */
export function withSeenPosition(
  seen: SeenPositions,
  database: string,
  at: LogPosition,
): SeenPositions {
  const before = seen.get(database);
  if (before && compareLogPosition(before, at) >= 0) return seen;
  return new Map([...seen, [database, at]]);
}

/**
 * Returns the signed token of a session. It is empty for an anonymous caller or
 * a workspace without keys.
 */
export function sessionTokenOf(
  caller: Caller,
  seen: SeenPositions,
  configuration: Configuration,
): string {
  if (caller.kind === 'anonymous') return '';
  const [verifier] = verifiersOf(configuration, caller.workspace);
  return verifier === undefined
    ? ''
    : encodeSessionToken(caller.workspace, seen, verifier);
}

/** Returns the result of `SELECT @@pistachiorill_session`. */
export function sessionTokenResult(token: string): StatementResult {
  return {
    kind: 'rows',
    columns: [
      {
        name: TOKEN_COLUMN,
        table: '',
        characterSet: CHARACTER_SET_UTF8MB4,
        columnLength: 4_096,
        type: TYPE_VAR_STRING,
        flags: 0,
        decimals: 0,
      },
    ],
    rows: [[Buffer.from(token)]],
  };
}
