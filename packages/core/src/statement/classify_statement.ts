import {fail, ok} from '../common/result.js';
import type {Result} from '../common/result.js';
import type {StatementVerb} from './statement.js';
import type {StatementSummary, TrackedWords} from './statement_summary.js';

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

/** The words that a summary must record for the classification. */
export const CLASSIFYING_WORDS: TrackedWords = {
  keywords: WRITE_KEYWORDS,
  functions: new Set([
    ...CONNECTION_FUNCTIONS,
    ...PREVIOUS_STATEMENT_FUNCTIONS,
  ]),
};

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
  summary: StatementSummary,
  scope: TransactionScope,
): Result<ClassifiedStatement, string> {
  if (summary.executableComments === 'some') {
    return fail('executable comments are not supported');
  }
  if (summary.statements === 'several') {
    return fail('several statements in one request are not supported');
  }
  const keyword = summary.head[0] ?? '';
  const control = classifyControl(summary);
  if (control) return ok({verb: control, changesData: false});
  const reason = connectionStateReason(summary, scope);
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
    return ok({verb: 'query', changesData: summary.keywords.size > 0});
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
export function isDefinitionStatement({head}: StatementSummary): boolean {
  return DEFINITION_KEYWORDS.has(head[0] ?? '');
}

function classifyControl({
  head,
  extent,
}: StatementSummary): StatementVerb | undefined {
  if (extent === 'beyond-head') return undefined;
  const text = head.join(' ');
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
  {head, functions, userVariables}: StatementSummary,
  scope: TransactionScope,
): string | undefined {
  if (userVariables === 'some') return 'user variables are not supported';
  const refusedFunction = [...functions].find(
    name =>
      CONNECTION_FUNCTIONS.has(name) ||
      (scope === 'autocommit' && PREVIOUS_STATEMENT_FUNCTIONS.has(name)),
  );
  if (refusedFunction) return `function ${refusedFunction} is not supported`;
  if (head[0] === 'CREATE' && head[1] === 'TEMPORARY') {
    return 'temporary tables are not supported';
  }
  if (head[0] === 'CALL' && head[1]?.startsWith('GROUP_')) {
    return 'control procedures of the group are not open to callers';
  }
  return undefined;
}
