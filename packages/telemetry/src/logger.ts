import {performance} from 'node:perf_hooks';
import bunyan from 'bunyan';
import {BoundedLogStream} from './bounded_log_stream.js';

/** The log levels that the settings accept. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** A structured logger that writes JSON records. */
export type Logger = bunyan;

/**
 * Creates the logger of a process. Callers set the field `event` of each record
 * to the kind of event.
 */
export function createLogger(vm: string, level: LogLevel): Logger {
  return bunyan.createLogger({name: 'pistachiorill', vm, level});
}

/**
 * Creates a logger that never blocks and drops records beyond the limits of
 * `BoundedLogStream`.
 */
export function createBoundedLogger(vm: string, level: LogLevel): Logger {
  const stream = new BoundedLogStream(() => performance.now());
  return bunyan.createLogger({
    name: 'pistachiorill',
    vm,
    streams: [{level, stream: stream as unknown as NodeJS.WritableStream}],
  });
}
