import {createHash} from 'node:crypto';
import {visitTokens} from '@pistachiorill/core';
import type {RoutedStatement, StatementResult} from '@pistachiorill/core';

/** The table that records request ids and the effects of their statements. */
const REQUEST_TABLE = 'pistachiorill_request';

/** Creates the request table on first use. */
export const CREATE_REQUEST_TABLE =
  `CREATE TABLE IF NOT EXISTS ${REQUEST_TABLE} (` +
  'workspace VARCHAR(128) NOT NULL, request_id VARCHAR(255) NOT NULL, ' +
  'fingerprint CHAR(64) NOT NULL, affected_rows BIGINT NOT NULL, ' +
  'insert_id BIGINT NOT NULL, PRIMARY KEY (workspace, request_id))';

/** Identifies a write of a workspace by its request id. */
export interface RequestKey {
  readonly workspace: string;
  readonly requestId: string;
  /** Hash of the statement; detects an id reused for another statement. */
  readonly fingerprint: string;
}

/** The stored record of a request, as a repeat reads it. */
export interface RequestRecord {
  readonly fingerprint: string;
  readonly affectedRows: number;
  readonly insertId: number;
}

/**
 * Returns the key of a write with a request id; undefined for a read or a
 * statement without an id.
 */
export function requestKeyOf(
  statement: RoutedStatement,
): RequestKey | undefined {
  const {caller, options, sql} = statement;
  if (options.requestId === undefined || !statement.changesData) {
    return undefined;
  }
  return {
    workspace: caller.kind === 'keyed' ? caller.workspace : '',
    requestId: options.requestId,
    fingerprint: fingerprintOf(sql),
  };
}

/**
 * Returns the SQL that inserts the request id, in the transaction of its
 * statement. A duplicate key error then identifies a repeat.
 */
export function insertRequestSql(key: RequestKey): string {
  return (
    `INSERT INTO ${REQUEST_TABLE} ` +
    '(workspace, request_id, fingerprint, affected_rows, insert_id) VALUES ' +
    `(${quoteSqlString(key.workspace)}, ${quoteSqlString(key.requestId)}, ` +
    `${quoteSqlString(key.fingerprint)}, 0, 0)`
  );
}

/** Returns the SQL that records the outcome, in the same transaction. */
export function updateRequestSql(
  key: RequestKey,
  result: StatementResult,
): string {
  const done = result.kind === 'done' ? result : NO_ROWS_CHANGED;
  return (
    `UPDATE ${REQUEST_TABLE} SET affected_rows = ${done.affectedRows}, ` +
    `insert_id = ${done.insertId} WHERE ${requestKeyCondition(key)}`
  );
}

/** Returns the SQL that reads the record of a request. */
export function selectRequestSql(key: RequestKey): string {
  return (
    `SELECT fingerprint, affected_rows, insert_id FROM ${REQUEST_TABLE} ` +
    `WHERE ${requestKeyCondition(key)}`
  );
}

/** Decodes the result of `selectRequestSql`. */
export function decodeRequestRecord(
  result: StatementResult,
): RequestRecord | undefined {
  if (result.kind !== 'rows') return undefined;
  const [fingerprint, affectedRows, insertId] = (result.rows[0] ?? []).map(
    value => Buffer.from(value ?? []).toString(),
  );
  if (fingerprint === undefined) return undefined;
  return {
    fingerprint,
    affectedRows: Number(affectedRows),
    insertId: Number(insertId),
  };
}

const NO_ROWS_CHANGED = {affectedRows: 0, insertId: 0};

function requestKeyCondition(key: RequestKey): string {
  return (
    `workspace = ${quoteSqlString(key.workspace)} AND ` +
    `request_id = ${quoteSqlString(key.requestId)}`
  );
}

/** Hashes a statement without its comments, since they hold the options. */
function fingerprintOf(sql: string): string {
  const texts: string[] = [];
  const err = visitTokens(sql, (kind, start, end) => {
    if (kind !== 'comment') texts.push(sql.slice(start, end));
  });
  const text = err ? sql : texts.join(' ');
  return createHash('sha256').update(text).digest('hex');
}

/** Quotes an SQL string. Workspace names and ids contain no backslashes. */
function quoteSqlString(text: string): string {
  return `'${text.replace(/'/g, "''")}'`;
}
