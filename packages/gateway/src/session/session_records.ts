import type {SessionRefusal} from '../ports/caller_link.js';
import type {MemberTransaction} from './member_transaction.js';
import type {RouteMove} from './route_moves.js';
import type {SessionPosition} from './session_positions.js';
import type {SessionDependencies, SessionMessage} from './session_message.js';

/** Longer names of requests are cut in records. */
const MAX_NAME_LENGTH = 200;

type RecordingDependencies = Pick<
  SessionDependencies,
  'configuration' | 'log' | 'metrics'
>;

/** Why the VM rolled a transaction back. */
export type RollbackReason =
  /** Its workspace lost the key. */
  | 'other-workspace'
  /** The database or the key is not available any more. */
  | 'access-withdrawn'
  | 'idle'
  /** The session ends, or the VM stops. */
  | 'session-ends';

/** Counts and logs a transaction that the VM rolled back. */
export function recordRollback(
  {log, metrics, configuration}: RecordingDependencies,
  database: string,
  {request, workspace}: MemberTransaction,
  reason: RollbackReason,
): void {
  metrics.rolledBack(reason);
  log.info(
    {
      event: 'transaction.rolled-back',
      request: shorten(request),
      database: shorten(database),
      workspace,
      configuration: configuration()?.version,
      reason,
    },
    'rolled back a transaction that its caller has not ended',
  );
}

/** Logs that the route of a session leads to another group than before. */
export function recordRouteMove(
  {log, configuration}: RecordingDependencies,
  request: string,
  database: string,
  {from, to}: RouteMove,
  own: SessionPosition,
): void {
  log.info(
    {
      event: 'session.moved',
      request: shorten(request),
      database: shorten(database),
      from,
      group: to,
      own,
      configuration: configuration()?.version,
    },
    'the route of a session leads to another group',
  );
}

/** Counts and logs the refusal of a session. */
export function recordSessionRefusal(
  {log, metrics}: RecordingDependencies,
  database: string,
  refusal: SessionRefusal,
): void {
  metrics.refused(refusal.kind);
  log.info(
    {event: 'session.refused', database: shorten(database), refusal},
    'session refused',
  );
}

/** Counts and logs the refusal of a statement. */
export function recordStatementRefusal(
  {log, metrics, configuration}: RecordingDependencies,
  request: string,
  database: string,
  refusal: SessionRefusal,
): void {
  metrics.refused(refusal.kind);
  log.info(
    {
      event: 'statement.refused',
      request: shorten(request),
      database: shorten(database),
      configuration: configuration()?.version,
      refusal,
    },
    'statement refused',
  );
}

/** Counts and logs a statement that a closed session leaves unanswered. */
export function recordAfterClose(
  {log, metrics}: RecordingDependencies,
  database: string,
  message: SessionMessage,
): void {
  if (message.kind !== 'event' || message.event.kind !== 'statement') return;
  const {id} = message.event;
  metrics.unanswered();
  log.warn(
    {event: 'statement.unanswered', request: shorten(id), database},
    'statement arrived after its session was closed',
  );
}

/** Counts and logs a reply that could not be sent, as the connection ended. */
export function recordUndelivered(
  {log, metrics}: RecordingDependencies,
  request: string,
  database: string,
): void {
  metrics.undelivered();
  log.info(
    {event: 'statement.undelivered', request: shorten(request), database},
    'the connection ended before the reply',
  );
}

function shorten(name: string): string {
  return name.slice(0, MAX_NAME_LENGTH);
}
