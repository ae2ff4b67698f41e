import type {SessionValues} from '@pistachiorill/core';
import type {PinnedStatement} from '../session/member_transaction.js';
import type {RoutedStatement} from '../session/session_statement.js';
import type {
  ExecuteInRequest,
  ExecuteRequest,
  ForwardedTransactionId,
} from './forward_schema.js';

/**
 * The longest statement that is forwarded, with the values of its session. Its
 * JSON encoding stays below the limit of a request between VMs: a character
 * takes six bytes at most.
 */
const MAX_FORWARD_LENGTH = 2 * 1_048_576;

/** How long a call waits for the answer of a statement that times out. */
const ANSWER_MARGIN_MS = 150;

/** The part of a statement that a member runs. */
type Work = Pick<PinnedStatement, 'id' | 'command' | 'prepared'> & {
  readonly values: Iterable<readonly [string, string]>;
};

/** Whether a statement fits into a call, with the values of its session. */
export function isForwardable(work: Work): boolean {
  return lengthOf(work) <= MAX_FORWARD_LENGTH;
}

/** Returns the length of a statement with the values of its session. */
export function lengthOf({command, prepared, values, id}: Work): number {
  let length = id.length + (prepared?.shape.length ?? 0);
  if (command.kind === 'statement') length += command.text.length;
  if (command.kind === 'execute') {
    length += command.name.length + command.parameters.length;
  }
  for (const [name, value] of values) length += name.length + value.length;
  return length;
}

/** Returns how long a call may take whose statement has a deadline. */
export function callTimeoutMs(deadline: number, now: number): number {
  return Math.max(0, deadline - now) + ANSWER_MARGIN_MS;
}

/** Encodes a single statement, or the first one of a transaction. */
export function toExecuteRequest(
  statement: RoutedStatement,
  keyCheckedAt: number | undefined,
  transaction: ForwardedTransactionId | undefined,
  now: number,
): ExecuteRequest {
  const {id, command, access, prepared, begin, values, route} = statement;
  const {database, key, workspace, caller, regions, positions} = statement;
  const {placementLog} = statement;
  return {
    id,
    command: command as ExecuteRequest['command'],
    access,
    prepared,
    begin,
    values: [...values],
    remainingMs: Math.max(0, statement.deadline - now),
    database,
    key,
    keyCheckedAt,
    workspace,
    caller,
    regions: [...regions],
    position: positions.of(route.group),
    placementLog: placementLog === 'on' ? placementLog : undefined,
    route: {...route, regions: [...route.regions]},
    transaction,
  };
}

/** Encodes a statement of a transaction that an owner holds. */
export function toExecuteInRequest(
  {id, command, access, prepared, values, deadline}: PinnedStatement,
  transaction: string,
  step: number,
  now: number,
): ExecuteInRequest {
  return {
    id,
    command: command as ExecuteInRequest['command'],
    access,
    prepared,
    values: [...values],
    remainingMs: Math.max(0, deadline - now),
    transaction,
    step,
  };
}

/** Restores a statement at its owner, where its deadline is dated anew. */
export function toRoutedStatement(
  req: ExecuteRequest,
  now: number,
): RoutedStatement {
  const {id, command, access, prepared, begin, values, route, position} = req;
  const {database, key, keyCheckedAt, workspace, caller, regions} = req;
  const {placementLog} = req;
  return {
    id,
    database,
    key,
    keyCheckedAt,
    receivedAt: now,
    command,
    access,
    prepared,
    begin,
    values: toValues(values),
    positions: {of: () => position},
    placementLog: placementLog ?? 'off',
    configuration: undefined,
    route,
    workspace,
    caller,
    regions,
    deadline: now + req.remainingMs,
  };
}

/** Restores a statement of a transaction at its owner. */
export function toPinnedStatement(
  {id, command, access, prepared, values, remainingMs}: ExecuteInRequest,
  now: number,
): PinnedStatement {
  return {
    id,
    command,
    access,
    prepared,
    values: toValues(values),
    deadline: now + remainingMs,
  };
}

function toValues(values: ExecuteRequest['values']): SessionValues {
  return new Map(values);
}
