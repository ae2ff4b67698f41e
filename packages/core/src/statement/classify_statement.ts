import {fail, ok} from '../common/result.js';
import type {Result} from '../common/result.js';
import type {SqlToken} from './sql_scanner.js';
import type {StatementVerb} from './statement.js';

/** Whether a statement runs inside an open transaction of its caller. */
export type TransactionScope = 'autocommit' | 'transaction';

const READ_KEYWORDS = new Set([
  'SELECT',
  'SHOW',
  'EXPLAIN',
  'DESCRIBE',
  'DESC',
  'VALUES',
  'TABLE',
]);

const WRITE_KEYWORDS = new Set([
  'INSERT',
  'UPDATE',
  'DELETE',
  'REPLACE',
  'CALL',
]);

/** Statements that MySQL commits implicitly. */
const DEFINITION_KEYWORDS = new Set(['CREATE', 'ALTER', 'DROP', 'TRUNCATE']);

const SAVEPOINT_KEYWORDS = new Set(['SAVEPOINT', 'RELEASE']);

/** Functions whose effect outlasts the statement on its connection. */
const CONNECTION_FUNCTIONS = new Set([
  'GET_LOCK',
  'RELEASE_LOCK',
  'RELEASE_ALL_LOCKS',
]);

/**
 * Functions that report on the previous statement of the connection. Outside a
 * transaction, that may be a statement of another caller.
 */
const PREVIOUS_STATEMENT_FUNCTIONS = new Set([
  'LAST_INSERT_ID',
  'FOUND_ROWS',
  'ROW_COUNT',
]);

/** The kind of a statement and its effect on data. */
export interface ClassifiedStatement {
  readonly verb: StatementVerb;
  /** Whether the statement can change data, according to its keywords alone. */
  readonly changesData: boolean;
}

/**
 * Classifies a statement. Refuses a statement that would leave state on a
 * backend connection, because the next statement on it may belong to another
 * caller.
 */
export function classifyStatement(
  tokens: readonly SqlToken[],
  scope: TransactionScope,
): Result<ClassifiedStatement, string> {
  if (tokens.some(token => token.kind === 'executable-comment')) {
    return fail('executable comments are not supported');
  }
  const code = tokens.filter(token => token.kind !== 'comment');
  while (isSymbol(code[code.length - 1], ';')) code.pop();
  if (code.some(token => isSymbol(token, ';'))) {
    return fail('several statements in one request are not supported');
  }
  const words = code.map(token => token.text.toUpperCase());
  const keyword = words[0] ?? '';
  const control = classifyControl(words);
  if (control) return ok({verb: control, changesData: false});
  const reason = connectionStateReason(code, words, scope);
  if (reason) return fail(reason);
  if (READ_KEYWORDS.has(keyword)) {
    return ok({verb: 'query', changesData: false});
  }
  if (WRITE_KEYWORDS.has(keyword)) {
    return ok({verb: 'query', changesData: true});
  }
  if (keyword === 'WITH') {
    // A keyword of the statement after the common table expressions shows
    // whether it writes.
    const changesData = words.some(word => WRITE_KEYWORDS.has(word));
    return ok({verb: 'query', changesData});
  }
  if (SAVEPOINT_KEYWORDS.has(keyword) || keyword === 'ROLLBACK') {
    return scope === 'transaction'
      ? ok({verb: 'query', changesData: true})
      : fail(`${keyword} needs a transaction`);
  }
  if (DEFINITION_KEYWORDS.has(keyword)) {
    return scope === 'autocommit'
      ? ok({verb: 'query', changesData: true})
      : fail(`${keyword} inside a transaction would commit it`);
  }
  return fail(`statement ${JSON.stringify(keyword)} is not supported`);
}

/** Returns whether MySQL commits a statement implicitly. */
export function isDefinitionStatement(tokens: readonly SqlToken[]): boolean {
  const first = tokens.find(token => token.kind !== 'comment');
  return DEFINITION_KEYWORDS.has(first?.text.toUpperCase() ?? '');
}

function classifyControl(words: readonly string[]): StatementVerb | undefined {
  const text = words.join(' ');
  switch (text) {
    case 'BEGIN':
    case 'BEGIN WORK':
    case 'START TRANSACTION':
      return 'begin';
    case 'COMMIT':
    case 'COMMIT WORK':
      return 'commit';
    case 'ROLLBACK':
    case 'ROLLBACK WORK':
      return 'rollback';
    case 'SELECT @@PISTACHIORILL_SESSION':
      return 'session-token';
    default:
      return /^SET (NAMES \S+|AUTOCOMMIT = 1|CHARACTER SET \S+)$/.test(text)
        ? 'no-effect'
        : undefined;
  }
}

function connectionStateReason(
  code: readonly SqlToken[],
  words: readonly string[],
  scope: TransactionScope,
): string | undefined {
  if (code.some(token => token.kind === 'user-variable')) {
    return 'user variables are not supported';
  }
  const refusedFunction = words.find(
    (word, index) =>
      words[index + 1] === '(' &&
      (CONNECTION_FUNCTIONS.has(word) ||
        (scope === 'autocommit' && PREVIOUS_STATEMENT_FUNCTIONS.has(word))),
  );
  if (refusedFunction) return `function ${refusedFunction} is not supported`;
  if (words[0] === 'CREATE' && words[1] === 'TEMPORARY') {
    return 'temporary tables are not supported';
  }
  if (words[0] === 'CALL' && words[1]?.startsWith('GROUP_')) {
    return 'control procedures of the group are not open to callers';
  }
  return undefined;
}

function isSymbol(token: SqlToken | undefined, text: string): boolean {
  return token?.kind === 'symbol' && token.text === text;
}
