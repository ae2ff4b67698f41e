import type {EventEmitter} from 'node:events';
import type {Logger} from '@pistachiorill/telemetry';

/** The events for errors that no code handled, either of which ends a process. */
const UNHANDLED_ERROR_EVENTS = [
  'uncaughtException',
  'unhandledRejection',
] as const;

/**
 * Logs errors that no task handled and lets the process continue. Each task
 * owns its state, so that an error in one does not corrupt another, while the
 * end of the process would break off the requests of all callers.
 */
export function logUnhandledErrors(source: EventEmitter, log: Logger): void {
  for (const origin of UNHANDLED_ERROR_EVENTS) {
    source.on(origin, (err: unknown) => {
      log.error(
        {event: 'process.unhandled-error', origin, err},
        'unexpected error that no task handled',
      );
    });
  }
}
