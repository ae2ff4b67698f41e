import {fail, ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import type {PlatformError} from './platform_error.js';

export interface HttpAnswer {
  readonly status: number;
  readonly body: string;
}

/** The settings of the platform's HTTP interface. */
export interface PlatformEndpoint {
  /** Base address such as `http://10.0.0.1:7000`. */
  readonly baseUrl: string;
  readonly timeoutMs: number;
}

const SERVER_ERROR = 500;
const SERVICE_UNAVAILABLE = 503;

/**
 * Sends one request. A lost answer is `unknown-outcome` unless the connection
 * was refused, because the request may have taken effect.
 */
export async function httpCall(
  endpoint: PlatformEndpoint,
  path: string,
  init: RequestInit = {},
): Promise<Result<HttpAnswer, PlatformError>> {
  try {
    const res = await fetch(`${endpoint.baseUrl}${path}`, {
      ...init,
      signal: AbortSignal.timeout(endpoint.timeoutMs),
    });
    const body = await res.text();
    if (res.status >= SERVER_ERROR) {
      // A gateway that gave up says nothing about the request's effect.
      const kind =
        res.status === SERVICE_UNAVAILABLE ? 'unavailable' : 'unknown-outcome';
      return fail({kind, detail: `HTTP status ${res.status}`});
    }
    return ok({status: res.status, body});
  } catch (err) {
    return fail(toPlatformError(err));
  }
}

function toPlatformError(err: unknown): PlatformError {
  const cause = (err as {cause?: {code?: string}}).cause;
  const detail = cause?.code ?? (err as Error).name;
  return cause?.code === 'ECONNREFUSED'
    ? {kind: 'unavailable', detail}
    : {kind: 'unknown-outcome', detail};
}
