import {describe, expect, it} from 'vitest';
import {ParseOptionsFilter} from '../parse_options_filter.js';
import type {ReceivedStatement} from '../statement.js';
import type {TransactionScope} from '../classify_statement.js';

const CASES: ReadonlyArray<readonly [string, TransactionScope, string]> = [
  ['accepts a query without options', 'autocommit', 'SELECT 1'],
  [
    'parses all options',
    'autocommit',
    "/*route='r',session='t',request_id='a%20b',shard='s',max_age_ms='5'*/ DELETE FROM t",
  ],
  [
    'ignores the keys of tracing libraries',
    'autocommit',
    "SELECT 1 /*traceparent='00-x',route='r'*/",
  ],
  [
    'ignores a comment inside a string',
    'autocommit',
    "SELECT '/*route=\\'x\\'*/'",
  ],
  ['refuses an unknown key', 'autocommit', "/*sesion='t'*/ SELECT 1"],
  [
    'refuses a key that is given twice',
    'autocommit',
    "/*route='a',route='b'*/ SELECT 1",
  ],
  [
    'refuses options in two comments',
    'autocommit',
    "/*route='a'*/ SELECT 1 /*shard='b'*/",
  ],
  ['refuses an unclosed quote', 'autocommit', "/*route='a*/ SELECT 1"],
  ['refuses an unclosed comment', 'autocommit', "/*route='a' SELECT 1"],
  ['refuses a negative age', 'autocommit', "/*max_age_ms='-1'*/ SELECT 1"],
  ['refuses an executable comment', 'autocommit', '/*!40101 SET NAMES utf8 */'],
  ['refuses two statements', 'autocommit', 'SELECT 1; DELETE FROM t'],
  ['accepts a trailing semicolon', 'autocommit', 'SELECT 1;'],
  ['refuses a user variable', 'autocommit', 'SELECT @x := 1'],
  [
    'refuses a change of a session variable',
    'autocommit',
    "SET SESSION sql_mode = 'ANSI'",
  ],
  ['accepts SET NAMES without effect', 'autocommit', 'SET NAMES utf8mb4'],
  ['refuses a named lock', 'autocommit', "SELECT GET_LOCK('a', 1)"],
  [
    'refuses a named lock with a comment before its bracket',
    'autocommit',
    "SELECT get_lock /* c */ ('a', 1)",
  ],
  [
    'accepts a longer name that starts like a named lock',
    'autocommit',
    'SELECT GET_LOCK\u00e9(1)',
  ],
  [
    'takes two dashes before no white space for operators',
    'autocommit',
    'SELECT 1--1; DELETE FROM t',
  ],
  [
    'takes two dashes at the end for a comment',
    'autocommit',
    'SELECT 6 / 2;--',
  ],
  [
    'refuses a statement behind one that ends in a comment',
    'autocommit',
    'SELECT 1; -- c\nDELETE FROM t',
  ],
  ['refuses a table lock', 'autocommit', 'LOCK TABLES t WRITE'],
  [
    'refuses a temporary table',
    'autocommit',
    'CREATE TEMPORARY TABLE t (a INT)',
  ],
  [
    'refuses a call of a control procedure',
    'autocommit',
    "CALL group_fence(9, 'x')",
  ],
  [
    'refuses the insert id outside a transaction',
    'autocommit',
    'SELECT LAST_INSERT_ID()',
  ],
  [
    'accepts the insert id inside a transaction',
    'transaction',
    'SELECT LAST_INSERT_ID()',
  ],
  ['refuses a definition inside a transaction', 'transaction', 'DROP TABLE t'],
  [
    'refuses a request id on a definition',
    'autocommit',
    "/*request_id='a'*/ DROP TABLE t",
  ],
  [
    'refuses a backslash in a request id',
    'autocommit',
    "/*request_id='a%5C'*/ SELECT 1",
  ],
  [
    'refuses a request id on a read',
    'autocommit',
    "/*request_id='a'*/ SELECT 1",
  ],
  [
    'classifies a read with a table expression',
    'autocommit',
    'WITH a AS (SELECT 1) SELECT * FROM a',
  ],
  [
    'classifies a write with a table expression',
    'autocommit',
    'WITH a AS (SELECT 1) DELETE FROM t',
  ],
  ['begin', 'autocommit', 'START TRANSACTION'],
  [
    'classifies a read of the session token',
    'autocommit',
    'select @@pistachiorill_session',
  ],
];

describe('ParseOptionsFilter', () => {
  // Guards against options that are silently ignored, and against statements
  // that leave state on a pooled connection.
  it.each(CASES)('%s', (unusedName, scope, sql) => {
    const statement = {sql, scope} as ReceivedStatement;
    const result = new ParseOptionsFilter().run(statement);
    const shown = result.ok
      ? {
          options: result.value.options,
          verb: result.value.verb,
          changesData: result.value.changesData,
        }
      : result.err;
    expect(shown).toMatchSnapshot();
  });
});
