import type {RuntimeConfiguration} from '@pistachiorill/core';
import type {Clock, Pipeline} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {CallerEvent, SessionRefusal} from '../ports/caller_link.js';
import type {GatewayMetrics} from '../telemetry/gateway_metrics.js';
import type {FirstAnswer} from './member_transaction.js';
import type {ReceivedStatement, RoutedStatement} from './session_statement.js';

/** The messages that a session's task handles. */
export type SessionMessage =
  /** An event on the caller's connection. */
  | {
      readonly kind: 'event';
      readonly event: CallerEvent;
      readonly receivedAt: number;
    }
  /** The configuration changed. */
  | {readonly kind: 'reconfigured'}
  /** The VM stops: the session closes as soon as no transaction is open. */
  | {readonly kind: 'drain'}
  /** The VM exits: the session closes once requests that arrived are answered. */
  | {readonly kind: 'close'}
  /** The VM no longer waits for its caller to close. */
  | {readonly kind: 'disconnect'}
  /** Rolls back an open transaction at once. */
  | {readonly kind: 'abort-transaction'}
  /** The open transaction exceeded its idle timeout. */
  | {readonly kind: 'transaction-idle'};

/** The pipelines and services that all sessions of a VM share. */
export interface SessionDependencies {
  /** Authenticates a statement and applies the workspace's rate limit. */
  readonly admit: Pipeline<ReceivedStatement, RoutedStatement, SessionRefusal>;
  /** Runs an admitted statement on a member, also through an owner. */
  readonly run: Pipeline<RoutedStatement, FirstAnswer, SessionRefusal>;
  readonly configuration: () => RuntimeConfiguration | undefined;
  /** Returns the token of an operation that was not run to its workspace. */
  readonly refundToken: (workspace: string) => void;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: GatewayMetrics;
  /** The bytes of values and prepared statements that a session may hold. */
  readonly maxStateBytes: number;
}
