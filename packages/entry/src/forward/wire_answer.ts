import {fail, ok} from '@pistachiorill/core';
import type {
  Refusal,
  Result,
  StatementReply,
  StatementResult,
} from '@pistachiorill/core';
import type {ForwardResponse, WireReply} from '@pistachiorill/peers';

/** Encodes the outcome of a forwarded statement; cells are sent as base64. */
export function encodeAnswer(
  result: Result<StatementReply, Refusal>,
): ForwardResponse {
  if (!result.ok) return result;
  const {seen, ...rest} = result.value;
  return {
    ok: true,
    value: {
      ...rest,
      seen: seen ?? null,
      result: encodeResult(rest.result),
    },
  };
}

/** Decodes the outcome that an owner has sent. */
export function decodeAnswer(
  answer: ForwardResponse,
): Result<StatementReply, Refusal> {
  if (!answer.ok) return fail(answer.err);
  const {seen, result, ...rest} = answer.value;
  return ok({...rest, seen: seen ?? undefined, result: decodeResult(result)});
}

function encodeResult(result: StatementResult): WireReply['result'] {
  if (result.kind === 'done') return result;
  return {
    kind: 'rows',
    columns: [...result.columns],
    rows: result.rows.map(row =>
      row.map(cell =>
        cell === null
          ? null
          : Buffer.from(cell.buffer, cell.byteOffset, cell.byteLength).toString(
              'base64',
            ),
      ),
    ),
  };
}

function decodeResult(result: WireReply['result']): StatementResult {
  if (result.kind === 'done') return result;
  return {
    ...result,
    rows: result.rows.map(row =>
      row.map(cell => (cell === null ? null : Buffer.from(cell, 'base64'))),
    ),
  };
}
