import {fail, ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import type {PlatformError} from './platform_error.js';

/** A response with a status below 500. */
export interface HttpResponse {
  readonly status: number;
  readonly body: string;
}

/** How to reach the platform's HTTP interface. */
export interface PlatformEndpoint {
  /** Base URL such as `http://10.0.0.1:7000`. */
  readonly baseUrl: string;
  /** Time limit of one request, including its response body. */
  readonly timeoutMs: number;
}

/** Twice the largest object of the object store. */
const MAX_RESPONSE_BYTES = 16 * 1_048_576;
const FIRST_SERVER_ERROR_STATUS = 500;
const SERVICE_UNAVAILABLE_STATUS = 503;

/**
 * Sends one request. A request without a response is reported as
 * `unknown-outcome`, because it may have taken effect, unless the connection
 * was refused.
 */
export async function sendHttpRequest(
  endpoint: PlatformEndpoint,
  path: string,
  init: RequestInit = {},
): Promise<Result<HttpResponse, PlatformError>> {
  try {
    const res = await fetch(`${endpoint.baseUrl}${path}`, {
      ...init,
      signal: AbortSignal.timeout(endpoint.timeoutMs),
    });
    const body = await readBody(res);
    if (res.status >= FIRST_SERVER_ERROR_STATUS) {
      // Other server errors, such as a gateway timeout, do not show whether
      // the request took effect.
      const kind =
        res.status === SERVICE_UNAVAILABLE_STATUS
          ? 'unavailable'
          : 'unknown-outcome';
      return fail({kind, detail: `HTTP status ${res.status}`});
    }
    return ok({status: res.status, body});
  } catch (err) {
    return fail(toPlatformError(err));
  }
}

/** Reads a response body; throws if it is larger than any expected one. */
async function readBody(res: Response): Promise<string> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  // Leaving the loop by an exception cancels the response.
  for await (const chunk of res.body ?? []) {
    size += chunk.length;
    if (size > MAX_RESPONSE_BYTES) throw new ResponseTooLarge();
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

class ResponseTooLarge extends Error {
  override readonly name = 'ResponseTooLarge';
}

function toPlatformError(err: unknown): PlatformError {
  const cause = (err as {cause?: {code?: string}}).cause;
  const detail = cause?.code ?? (err as Error).name;
  return cause?.code === 'ECONNREFUSED'
    ? {kind: 'unavailable', detail}
    : {kind: 'unknown-outcome', detail};
}
