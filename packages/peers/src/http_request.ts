import {request} from 'node:http';
import type {Agent, IncomingHttpHeaders} from 'node:http';

/**
 * A failed request. `kind` is `unreachable` if no byte of it was sent, and
 * `no-answer` if some may have been.
 */
export class TransportError extends Error {
  constructor(
    readonly kind: 'unreachable' | 'no-answer',
    message: string,
    /** Whether a connection failed to open within its time limit. */
    readonly connect: 'timed-out' | 'other' = 'other',
  ) {
    super(message);
  }
}

/** Larger than any answer that a VM or the store sends. */
const MAX_RESPONSE_BYTES = 64 * 1_048_576;

/** The parameters of one HTTP request. */
export interface HttpRequest {
  readonly method?: 'GET' | 'POST';
  readonly headers?: Readonly<Record<string, string>>;
  /** For a single server, as a timeout closes all its idle connections. */
  readonly agent: Agent;
  readonly host: string;
  readonly port: number;
  readonly path: string;
  readonly body: string;
  readonly timeoutMs: number;
  /** The part of `timeoutMs` within which a new connection must open. */
  readonly connectTimeoutMs?: number | undefined;
  readonly signal: AbortSignal | undefined;
}

/** The status, the headers and the whole body of a response. */
export interface HttpResponse {
  readonly status: number;
  /** By name in lower case. */
  readonly headers: Readonly<IncomingHttpHeaders>;
  readonly body: string;
}

/** Sends a request and returns the response body, whatever its status. */
export async function postRequest(call: HttpRequest): Promise<string> {
  return (await sendHttpRequest(call)).body;
}

/**
 * Sends a request and returns the response, or throws a `TransportError`. The
 * built-in `fetch` is not used, as its errors do not show whether the request
 * was sent.
 */
export function sendHttpRequest(call: HttpRequest): Promise<HttpResponse> {
  return new Promise((resolve, reject) => {
    let connection: 'opening' | 'open' = 'opening';
    let timeout: Error | undefined;
    let connect: 'timed-out' | 'other' = 'other';
    const req = request({
      agent: call.agent,
      host: call.host,
      port: call.port,
      path: call.path,
      method: call.method ?? 'POST',
      headers: {
        ...call.headers,
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(call.body),
      },
    });
    const abort = (): void => {
      req.destroy(new Error('aborted'));
    };
    const timer = setTimeout(() => {
      connect = 'timed-out';
      timeout = new Error(`no answer within ${call.timeoutMs} ms`);
      // Resets the connection, which discards request data that has not been
      // delivered yet.
      req.socket?.resetAndDestroy();
      req.destroy(timeout);
      closeIdleConnections(call.agent);
    }, call.timeoutMs);
    let connectTimer: NodeJS.Timeout | undefined;
    const finish = (): void => {
      clearTimeout(timer);
      clearTimeout(connectTimer);
      call.signal?.removeEventListener('abort', abort);
    };
    const failWith = (err: Error): void => {
      finish();
      const kind = connection === 'opening' ? 'unreachable' : 'no-answer';
      // A reset by this side is reported as if the other side had hung up.
      reject(new TransportError(kind, (timeout ?? err).message, connect));
    };
    if (call.signal?.aborted) abort();
    call.signal?.addEventListener('abort', abort);
    req.on('socket', socket => {
      if (!socket.connecting) {
        connection = 'open';
        return;
      }
      if (call.connectTimeoutMs !== undefined) {
        connectTimer = setTimeout(() => {
          connect = 'timed-out';
          req.destroy(
            new Error(`no connection in ${call.connectTimeoutMs} ms`),
          );
        }, call.connectTimeoutMs);
      }
      socket.once('connect', () => {
        clearTimeout(connectTimer);
        connection = 'open';
      });
    });
    req.on('error', failWith);
    req.on('response', res => {
      const chunks: Buffer[] = [];
      let size = 0;
      res.on('data', (chunk: Buffer) => {
        size += chunk.length;
        if (size <= MAX_RESPONSE_BYTES) chunks.push(chunk);
        else res.destroy(new Error(`over ${MAX_RESPONSE_BYTES} bytes`));
      });
      res.on('error', failWith);
      res.on('end', () => {
        finish();
        resolve({
          status: res.statusCode ?? 0,
          headers: res.headers,
          body: Buffer.concat(chunks).toString(),
        });
      });
    });
    req.end(call.body);
  });
}

/**
 * Closes the idle connections of an agent. Connections often go silent together,
 * and each would cost the next request a timeout.
 */
function closeIdleConnections(agent: Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}
