import type {
  ParsedStatement,
  ReceivedStatement,
  Refusal,
  RoutedStatement,
  StatementContext,
  StatementReply,
} from '@pistachiorill/core';
import type {ConnectionGuard} from '@pistachiorill/mysql';
import type {Clock, Pipeline} from '@pistachiorill/tasks';
import type {Logger, Metrics} from '@pistachiorill/telemetry';
import type {ExecutorLookup} from './execute_filter.js';

/** Messages that a `ConnectionTask` handles. */
export type ConnectionMessage =
  | {readonly kind: 'query'; readonly sql: string; readonly receivedAt: number}
  | {readonly kind: 'unsupported'; readonly reason: string}
  /** A request was larger than the limit and is not kept. */
  | {readonly kind: 'oversized'; readonly bytes: number}
  /** The configuration or the lifecycle of this VM has changed. */
  | {readonly kind: 'context-changed'}
  /** The idle time limit of the open transaction has passed. */
  | {readonly kind: 'transaction-idle'}
  | {readonly kind: 'closed'};

/** The pipelines and collaborators that all connections of a VM share. */
export interface ConnectionDependencies {
  readonly parse: Pipeline<ReceivedStatement, ParsedStatement, Refusal>;
  readonly route: Pipeline<ParsedStatement, RoutedStatement, Refusal>;
  readonly execute: Pipeline<RoutedStatement, StatementReply, Refusal>;
  readonly findExecutor: ExecutorLookup;
  /** Undefined until the first configuration is applied. */
  readonly context: () => StatementContext | undefined;
  /** How long a transaction may stay idle before it is rolled back. */
  readonly transactionIdleMs: number;
  /** Applies the limits that all connections share. */
  readonly guard: ConnectionGuard;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: Metrics;
}
