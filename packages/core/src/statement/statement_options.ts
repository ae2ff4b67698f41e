import {fail, ok} from '../common/result.js';
import type {Result} from '../common/result.js';
import type {StatementOptions} from './statement.js';

const MAX_VALUE_LENGTH = 4_096;

/** Keys that tracing libraries add to the same comment. */
const IGNORED_KEYS: ReadonlySet<string> = new Set([
  'action',
  'application',
  'controller',
  'db_driver',
  'framework',
  'traceparent',
  'tracestate',
]);

/**
 * The request id is inserted into a string literal of an SQL statement. A
 * backslash is not allowed because its meaning there depends on the SQL mode of
 * the server.
 */
const REQUEST_ID = /^[\x20-\x5b\x5d-\x7e]{1,255}$/;

const PAIR = /^\s*([A-Za-z_]+)\s*=\s*'((?:[^'\\]|\\.)*)'\s*(,|$)/;

/** Returns whether a comment contains options rather than plain text. */
export function isOptionsComment(body: string): boolean {
  return /^\s*[A-Za-z_]+\s*=/.test(body);
}

/**
 * Parses `key='value'` pairs with percent-encoded values. An unknown key is an
 * error, because a misspelt `session` would silently disable read-your-writes.
 */
export function parseOptionsComment(
  body: string,
): Result<StatementOptions, string> {
  const values = new Map<string, string>();
  let rest = body;
  while (rest.trim() !== '') {
    const match = PAIR.exec(rest);
    if (!match) return fail(`cannot read options near ${quote(rest)}`);
    const [all, key = '', raw = '', separator] = match;
    rest = rest.slice(all.length);
    if (separator === ',' && rest.trim() === '') {
      return fail('the options end with a comma');
    }
    if (IGNORED_KEYS.has(key)) continue;
    if (values.has(key)) return fail(`option ${key} is given twice`);
    const value = decodeValue(raw);
    if (value === undefined) {
      return fail(`option ${key} is empty, too long or not percent-encoded`);
    }
    values.set(key, value);
  }
  return buildOptions(values);
}

function buildOptions(
  values: ReadonlyMap<string, string>,
): Result<StatementOptions, string> {
  const options: {
    -readonly [K in keyof StatementOptions]: StatementOptions[K];
  } = {};
  for (const [key, value] of values) {
    switch (key) {
      case 'route':
        options.route = value;
        break;
      case 'session':
        options.session = value;
        break;
      case 'request_id':
        if (!REQUEST_ID.test(value)) {
          return fail(
            'option request_id must have 1 to 255 printable ASCII characters ' +
              'without a backslash',
          );
        }
        options.requestId = value;
        break;
      case 'shard':
        options.shard = value;
        break;
      case 'max_age_ms':
        if (!/^\d{1,9}$/.test(value)) {
          return fail('option max_age_ms is not a whole number');
        }
        options.maxAgeMs = Number(value);
        break;
      default:
        return fail(`unknown option ${quote(key)}`);
    }
  }
  return ok(options);
}

function decodeValue(raw: string): string | undefined {
  try {
    const value = decodeURIComponent(raw.replace(/\\(.)/g, '$1'));
    return value !== '' && value.length <= MAX_VALUE_LENGTH ? value : undefined;
  } catch {
    return undefined;
  }
}

function quote(text: string): string {
  return JSON.stringify(text.slice(0, 40));
}
