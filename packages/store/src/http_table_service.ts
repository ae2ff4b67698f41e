import {fail, ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import {decodeResponse} from './decode_response.js';
import {sendHttpRequest} from './http_request.js';
import type {PlatformEndpoint} from './http_request.js';
import {ROWS_SCHEMA, ROW_SCHEMA} from './platform_api.js';
import type {PlatformError} from './platform_error.js';
import {TableService} from './table_service.js';
import type {Row} from './table_service.js';

const NOT_FOUND = 404;
const PRECONDITION_FAILED = 412;

/**
 * Accesses the platform's table service over HTTP. Writes are conditional on
 * the row version in `If-Match`.
 */
export class HttpTableService extends TableService {
  constructor(private readonly endpoint: PlatformEndpoint) {
    super();
  }

  override async read(
    key: string,
  ): Promise<Result<Row | undefined, PlatformError>> {
    const res = await sendHttpRequest(this.endpoint, rowPath(key));
    if (!res.ok) return res;
    if (res.value.status === NOT_FOUND) return ok(undefined);
    return decodeResponse(ROW_SCHEMA, res.value, 'unavailable');
  }

  override async write(
    key: string,
    value: string,
    expected: number,
  ): Promise<Result<Row, PlatformError>> {
    const res = await sendHttpRequest(this.endpoint, rowPath(key), {
      method: 'PUT',
      headers: {'if-match': String(expected)},
      body: value,
    });
    if (!res.ok) return res;
    if (res.value.status === PRECONDITION_FAILED) {
      if (res.value.body === '') {
        return fail({kind: 'conflict', current: undefined});
      }
      const current = decodeResponse(ROW_SCHEMA, res.value, 'unavailable');
      return current.ok
        ? fail({kind: 'conflict', current: current.value})
        : current;
    }
    return decodeResponse(ROW_SCHEMA, res.value, 'unknown-outcome');
  }

  override async list(
    prefix: string,
  ): Promise<Result<readonly Row[], PlatformError>> {
    const query = new URLSearchParams({prefix});
    const res = await sendHttpRequest(this.endpoint, `/table?${query}`);
    if (!res.ok) return res;
    return decodeResponse(ROWS_SCHEMA, res.value, 'unavailable');
  }
}

function rowPath(key: string): string {
  return `/table/${encodeURIComponent(key)}`;
}
