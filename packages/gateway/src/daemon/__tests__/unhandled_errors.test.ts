import {EventEmitter} from 'node:events';
import type {Logger} from '@pistachiorill/telemetry';
import {describe, expect, it} from 'vitest';
import {logUnhandledErrors} from '../unhandled_errors.js';

describe('logUnhandledErrors', () => {
  // Guards against a process that ends, with all its callers' requests, because
  // of one unexpected error.
  it('logs each unhandled error', () => {
    const records: object[] = [];
    const log = {error: (record: object) => records.push(record)};
    const source = new EventEmitter();
    logUnhandledErrors(source, log as unknown as Logger);
    source.emit('uncaughtException', new RangeError('port 70000'));
    source.emit('unhandledRejection', 'no error object');
    expect(records).toMatchSnapshot();
  });
});
