import type {RoutedStatement, StatementContext} from '@pistachiorill/core';
import type {WireStatement} from '@pistachiorill/peers';

/** Encodes a statement for an owner of its group, with times as durations. */
export function encodeStatement(
  statement: RoutedStatement,
  now: number,
): WireStatement {
  return {
    connectionId: statement.connectionId,
    caller: statement.caller,
    databaseName: statement.databaseName,
    database: statement.database,
    sql: statement.sql,
    scope: statement.scope,
    options: statement.options,
    verb: statement.verb,
    changesData: statement.changesData,
    route: statement.route,
    maxAgeMs: statement.maxAgeMs,
    requirement: statement.requirement,
    elapsedMs: Math.max(0, now - statement.receivedAt),
    remainingMs: Math.max(0, statement.deadline - now),
  };
}

/**
 * Decodes a statement at the owner. On the owner's clock the arrival and the
 * deadline are late by the network delay, so a proof that must be newer than
 * the arrival is never too old.
 */
export function decodeStatement(
  wire: WireStatement,
  context: StatementContext,
  now: number,
): RoutedStatement {
  const {elapsedMs, remainingMs, ...rest} = wire;
  return {
    ...rest,
    context,
    receivedAt: now - elapsedMs,
    deadline: now + remainingMs,
  };
}
