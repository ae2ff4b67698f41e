import type {Result, StatementResult} from '@pistachiorill/core';
import type {BackendError} from '@pistachiorill/mysql';
import {ask} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {BackendTask} from '../backend/backend_task.js';

/** The result of one SQL command on a backend connection. */
export type BackendResult = Result<StatementResult, BackendError>;

/** Sends one SQL command on a connection and waits until the deadline. */
export function callBackend(
  backend: BackendTask,
  sql: string,
  deadline: number,
  clock: Clock,
): Promise<BackendResult> {
  const timeoutMs = Math.max(1, deadline - clock());
  return ask(reply => backend.tell({kind: 'execute', sql, timeoutMs, reply}));
}
