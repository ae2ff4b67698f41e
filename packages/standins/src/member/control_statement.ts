import {fail, ok} from '@pistachiorill/core';
import type {MemberState, Result, StatementResult} from '@pistachiorill/core';
import {ask} from '@pistachiorill/tasks';
import {encodeLogReply} from './log_codec.js';
import type {MemberError} from './member_error.js';
import type {LogReply} from './member_log.js';
import type {MemberMessage} from './member_message.js';
import {toRowsResult} from './rows_result.js';

type Send = (message: MemberMessage) => void;

/**
 * `CALL group_<name>(term)` with, after the term, an optional string or number
 * and an optional log position.
 */
const CALL =
  /^CALL group_(\w+)\((\d+)(?:,\s*(?:'((?:[^'\\]|\\.)*)'|(\d+)))?(?:,\s*(\d+))?\)$/;

/**
 * Runs a statement of a control connection: `SHOW GROUP STATE` or a call of
 * `group_fence`, `group_promote`, `group_follow` or `group_log`.
 */
export async function runControlStatement(
  sql: string,
  send: Send,
): Promise<Result<StatementResult, MemberError>> {
  if (sql === 'SHOW GROUP STATE') {
    return stateResult(await ask(reply => send({kind: 'state', reply})));
  }
  const match = CALL.exec(sql);
  if (!match) {
    return fail({kind: 'statement', detail: `unknown control call ${sql}`});
  }
  const [, name, term, text = '', number, position] = match;
  return runCall(send, name ?? '', Number(term), text, {
    term: Number(number ?? 0),
    position: Number(position ?? 0),
  });
}

async function runCall(
  send: Send,
  name: string,
  term: number,
  text: string,
  end: {term: number; position: number},
): Promise<Result<StatementResult, MemberError>> {
  switch (name) {
    case 'fence':
    case 'promote':
      return stateResult(
        await ask(reply => send({kind: name, term, owner: text, reply})),
      );
    case 'follow':
      return stateResult(
        await ask(reply => send({kind: name, term, primary: text, reply})),
      );
    case 'log': {
      const log = await ask<Result<LogReply, MemberError>>(reply =>
        send({kind: 'read-log', term, end, reply}),
      );
      return log.ok ? ok(encodeLogReply(log.value)) : log;
    }
    default:
      return fail({kind: 'statement', detail: `unknown call group_${name}`});
  }
}

function stateResult(
  result: Result<MemberState, MemberError>,
): Result<StatementResult, MemberError> {
  if (!result.ok) return result;
  const state = result.value;
  const row = {
    role: state.role,
    term: state.term,
    received_term: state.received.term,
    received_position: state.received.position,
    applied_term: state.applied.term,
    applied_position: state.applied.position,
    fenced_term: state.fencedTerm,
    fenced_owner: state.fencedOwner,
    connections: state.connections,
    connection_limit: state.connectionLimit,
    slots: state.slots,
  };
  return ok(toRowsResult(Object.keys(row), [Object.values(row)]));
}
