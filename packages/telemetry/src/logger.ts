import {performance} from 'node:perf_hooks';
import bunyan from 'bunyan';
import {BoundedLogStream} from './bounded_log_stream.js';

/** The levels that settings may name. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export type Logger = bunyan;

/** Creates the process's logger. Each record names its event in `event`. */
export function createLogger(vm: string, level: LogLevel): Logger {
  return bunyan.createLogger({name: 'pistachiorill', vm, level});
}

/** Creates a logger that never blocks and leaves out what is too much. */
export function createBoundedLogger(vm: string, level: LogLevel): Logger {
  const stream = new BoundedLogStream(() => performance.now());
  return bunyan.createLogger({
    name: 'pistachiorill',
    vm,
    streams: [{level, stream: stream as unknown as NodeJS.WritableStream}],
  });
}
