import type {RuntimeConfiguration} from '@pistachiorill/core';
import type {SessionRefusal} from '../ports/caller_link.js';
import {resolveCaller} from './route_filter.js';
import {ANONYMOUS_WORKSPACE} from './session_statement.js';
import type {RoutedStatement} from './session_statement.js';
import type {SessionTransaction} from './session_transaction.js';

/** Whether a session may go on under the present configuration. */
export type SessionAccess =
  | {readonly kind: 'kept'}
  /** The open transaction runs for a workspace that lost the key. */
  | {readonly kind: 'other-workspace'}
  /** The database or the key is not available any more. */
  | {readonly kind: 'withdrawn'; readonly refusal: SessionRefusal};

/**
 * Checks the key of a statement that has waited. Returns why it may not run, if
 * its workspace does not hold the key any more.
 */
export function refusalAfterWait(
  configuration: RuntimeConfiguration | undefined,
  {caller, key, workspace, keyCheckedAt}: RoutedStatement,
): SessionRefusal | undefined {
  if (!configuration || caller === 'anonymous') return undefined;
  // This VM may not yet have the configuration that contains the key.
  if (keyCheckedAt !== undefined && keyCheckedAt >= configuration.version) {
    return undefined;
  }
  const holder = configuration.keys.get(key);
  if (holder === workspace) return undefined;
  if (holder === undefined) {
    return {kind: 'bad-key', detail: 'the key was withdrawn'};
  }
  const detail = 'the key moved to another workspace';
  return {kind: 'busy', detail, retryAfterMs: 0};
}

/**
 * Checks the access of an open session. The statements of a transaction run for
 * the workspace that held the key when it began, so it must still hold the key.
 */
export function checkAccess(
  configuration: RuntimeConfiguration | undefined,
  database: string,
  key: string,
  transaction: SessionTransaction,
): SessionAccess {
  const found = resolveCaller(configuration, database, key);
  if (!found.ok) return {kind: 'withdrawn', refusal: found.err};
  if (transaction.kind !== 'open') return {kind: 'kept'};
  const {workspace} = transaction.transaction;
  const isKept =
    workspace === ANONYMOUS_WORKSPACE || workspace === found.value.workspace;
  return {kind: isKept ? 'kept' : 'other-workspace'};
}
