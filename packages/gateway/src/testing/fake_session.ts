import type {
  DatabaseRoute,
  Filter,
  RuntimeConfiguration,
} from '@pistachiorill/core';
import {Pipeline} from '@pistachiorill/tasks';
import type {CallerStatement, SessionRefusal} from '../ports/caller_link.js';
import type {FirstAnswer} from '../session/member_transaction.js';
import {PlaceFilter} from '../session/place_filter.js';
import {RouteFilter} from '../session/route_filter.js';
import {RunFilter} from '../session/run_filter.js';
import type {RoutedStatement} from '../session/session_statement.js';
import {SessionTask} from '../session/session_task.js';
import type {Logger} from '@pistachiorill/telemetry';
import {GatewayMetrics} from '../telemetry/gateway_metrics.js';
import {FakeCaller} from './fake_caller.js';
import {FakeGroup} from './fake_group.js';

type SessionRunFilter = Filter<RoutedStatement, FirstAnswer, SessionRefusal>;

/** How long a test waits for pending statements to finish. */
export const SETTLE_MS = 40;

export const SESSION_CONFIGURATION: RuntimeConfiguration = {
  version: 1,
  routes: new Map([
    [
      'wash-db',
      {
        name: 'r',
        database: 'wash-db',
        group: 'wash',
        consistency: 'strict',
        maxAgeMs: 0,
        statementTimeoutMs: 400,
        targetMs: 100,
        priority: 1,
        audience: 'keyed',
        regions: [],
      },
    ],
  ]),
  groups: new Map(),
  workspaces: new Map([
    ['growers', {name: 'growers', limit: {rate: 9, burst: 9}, regions: []}],
  ]),
  keys: new Map([['k1', 'growers']]),
  transactionIdleMs: 3_000,
};

/** A configuration whose route reads its own writes at a group. */
export function withRouteAt(group: string): RuntimeConfiguration {
  const route = SESSION_CONFIGURATION.routes.get('wash-db') as DatabaseRoute;
  const moved = {
    ...route,
    group,
    consistency: 'own-writes' as const,
    maxAgeMs: 60_000,
  };
  return {...SESSION_CONFIGURATION, routes: new Map([['wash-db', moved]])};
}

const MAX_STATE_BYTES = 1_000;

/** The fields of a log record. */
type LogRecord = Readonly<Record<string, unknown>>;

/**
 * Starts a session with a fake caller and a group of fake members. `others` are
 * further groups by name, to which a test can move the route. `wrap` puts a
 * filter in front of the one that runs statements on the fake members.
 */
export function startSession(
  connectionLimit?: number,
  others: ReadonlyMap<string, FakeGroup> = new Map(),
  wrap: (local: RunFilter) => SessionRunFilter = local => local,
) {
  const fake = new FakeGroup(connectionLimit);
  const clock = (): number => performance.now();
  const records: LogRecord[] = [];
  const log = recordingLogger(records);
  const database = (name: string) => (others.get(name) ?? fake).task;
  const state = {configuration: SESSION_CONFIGURATION};
  const caller = new FakeCaller();
  const metrics = new GatewayMetrics();
  const configuration = () => state.configuration;
  const local = new RunFilter({
    place: new PlaceFilter({database, configuration, clock, log}),
    database,
    clock,
  });
  const session = new SessionTask(
    caller,
    {
      admit: Pipeline.of(new RouteFilter(), clock),
      run: Pipeline.of(wrap(local), clock),
      configuration,
      refundToken: () => undefined,
      clock,
      log,
      metrics,
      maxStateBytes: MAX_STATE_BYTES,
    },
    () => caller.seen.push('ended'),
  );
  const open = (database = 'wash-db', key = 'k1'): void =>
    session.tell({
      kind: 'event',
      event: {kind: 'open', database, key},
      receivedAt: clock(),
    });
  const run = async (...statements: CallerStatement[]): Promise<void> => {
    for (const [index, statement] of statements.entries()) {
      session.tell({
        kind: 'event',
        event: {kind: 'statement', id: `q${index}`, statement},
        receivedAt: clock(),
      });
    }
    await settle();
  };
  caller.onCloseRequested = () =>
    session.tell({kind: 'event', event: {kind: 'ended'}, receivedAt: clock()});
  return {fake, caller, metrics, session, state, open, run, records};
}

/** A logger that keeps its records. */
function recordingLogger(records: LogRecord[]): Logger {
  const record = (item: LogRecord): void => {
    records.push(item);
  };
  const log = {info: record, warn: record, error: record};
  return log as unknown as Logger;
}

/** Waits for pending statements to finish. */
export function settle(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, SETTLE_MS));
}

export const READ: CallerStatement = {
  kind: 'statement',
  access: 'read',
  text: 'READ x',
};
export const WRITE: CallerStatement = {
  kind: 'statement',
  access: 'write',
  text: 'WRITE x y',
};
export const BEGIN: CallerStatement = {kind: 'begin', access: 'write'};
export const COMMIT: CallerStatement = {kind: 'commit'};
export const ROLLBACK: CallerStatement = {kind: 'rollback'};
