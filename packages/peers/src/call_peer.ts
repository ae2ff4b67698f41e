import {fail, ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import {TRPCClientError} from '@trpc/client';
import {TransportError} from './http_request.js';
import type {PeerError} from './peer_error.js';

/** The timeout of a call, and a signal that may abort it earlier. */
export interface CallOptions {
  readonly timeoutMs: number;
  /** Within which time a new connection must open; `timeoutMs` if left out. */
  readonly connectTimeoutMs?: number;
  readonly signal?: AbortSignal;
}

/** The options of one call as `peerLink` reads them. */
interface LinkOptions {
  readonly context: Pick<CallOptions, 'timeoutMs' | 'connectTimeoutMs'>;
  readonly signal?: AbortSignal;
}

/** Makes one call and converts its exceptions to `PeerError`. */
export async function callPeer<T>(
  {timeoutMs, connectTimeoutMs, signal}: CallOptions,
  send: (options: LinkOptions) => Promise<T>,
): Promise<Result<T, PeerError>> {
  const context = {
    timeoutMs: Math.max(1, timeoutMs),
    ...(connectTimeoutMs === undefined ? {} : {connectTimeoutMs}),
  };
  try {
    return ok(await send({context, ...(signal ? {signal} : {})}));
  } catch (err) {
    return fail(toPeerError(err));
  }
}

/** tRPC error codes of requests that did not reach a handler. */
const REJECTION_CODES = new Set([
  'BAD_REQUEST',
  'NOT_FOUND',
  'PARSE_ERROR',
  'PAYLOAD_TOO_LARGE',
  // Too many large requests at a time; see `PeerBodyReader`.
  'TOO_MANY_REQUESTS',
]);

function toPeerError(err: unknown): PeerError {
  if (!(err instanceof TRPCClientError)) {
    return {kind: 'no-answer', detail: String(err)};
  }
  const {cause} = err;
  if (cause instanceof TransportError) {
    const {kind, message, connect} = cause;
    return kind === 'unreachable' && connect === 'timed-out'
      ? {kind, detail: message, cause: 'connect-timeout'}
      : {kind, detail: message};
  }
  const code = (err.data as {code?: string} | undefined)?.code;
  return code !== undefined && REJECTION_CODES.has(code)
    ? {kind: 'rejected', detail: `${code}: ${err.message}`}
    : {kind: 'no-answer', detail: err.message};
}
