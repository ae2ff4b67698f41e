import type {StatementResult} from '@pistachiorill/core';
import type {LogReply} from './member_log.js';
import {toRowsResult} from './rows_result.js';

/** Encodes a log reply as a result set with one row and one column of JSON. */
export function encodeLogReply(reply: LogReply): StatementResult {
  return toRowsResult(['log'], [[JSON.stringify(reply)]]);
}

/** Decodes the result of `CALL group_log`; without a row there are no entries. */
export function decodeLogReply(result: StatementResult): LogReply {
  const cell = result.kind === 'rows' ? result.rows[0]?.[0] : undefined;
  if (!cell) return {kind: 'entries', entries: []};
  return JSON.parse(Buffer.from(cell).toString()) as LogReply;
}
