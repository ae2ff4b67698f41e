import type {ServedConfiguration} from '@pistachiorill/core';
import type {Clock, Pipeline} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {DatabaseTask} from '../database/database_task.js';
import type {CallerEvent, SessionRefusal} from '../ports/caller_link.js';
import type {GatewayMetrics} from '../telemetry/gateway_metrics.js';
import type {PlacedAnswer} from './place_filter.js';
import type {ReceivedStatement, RoutedStatement} from './session_statement.js';

export type SessionMessage =
  | {
      readonly kind: 'event';
      readonly event: CallerEvent;
      readonly receivedAt: number;
    }
  /** The configuration changed. */
  | {readonly kind: 'reconfigured'}
  /** The VM stops: sessions end when they hold no transaction. */
  | {readonly kind: 'drain'}
  /** Open transactions end now. */
  | {readonly kind: 'abort-transaction'}
  | {readonly kind: 'transaction-idle'};

/** The pipelines and tools that all sessions of a VM share. */
export interface SessionTools {
  readonly admit: Pipeline<ReceivedStatement, RoutedStatement, SessionRefusal>;
  readonly place: Pipeline<RoutedStatement, PlacedAnswer, SessionRefusal>;
  readonly database: (group: string) => DatabaseTask | undefined;
  readonly configuration: () => ServedConfiguration | undefined;
  /** Returns the token of an operation that was not run. */
  readonly refund: (workspace: string) => void;
  readonly clock: Clock;
  readonly log: Logger;
  readonly metrics: GatewayMetrics;
}
