import {request} from 'node:http';
import type {Agent} from 'node:http';

/** Reports through `kind` whether any byte of a request may have been sent. */
export class TransportError extends Error {
  constructor(
    readonly kind: 'unreachable' | 'no-answer',
    message: string,
  ) {
    super(message);
  }
}

/** One request over HTTP. */
export interface HttpCall {
  readonly method?: 'GET' | 'POST';
  readonly headers?: Readonly<Record<string, string>>;
  readonly agent: Agent;
  readonly host: string;
  readonly port: number;
  readonly path: string;
  readonly body: string;
  readonly timeoutMs: number;
  readonly signal: AbortSignal | undefined;
}

export interface HttpAnswer {
  readonly status: number;
  readonly body: string;
}

/** Posts a body and returns the body of the answer. */
export async function httpCall(call: HttpCall): Promise<string> {
  return (await httpExchange(call)).body;
}

/**
 * Sends a request and returns the answer. The built-in `fetch` does
 * not tell whether a request was sent before it failed.
 */
export function httpExchange(call: HttpCall): Promise<HttpAnswer> {
  return new Promise((resolve, reject) => {
    let connection: 'opening' | 'open' = 'opening';
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
      // A reset takes back what is held up on its way, where it still can.
      req.socket?.resetAndDestroy();
      req.destroy(new Error(`no answer within ${call.timeoutMs} ms`));
    }, call.timeoutMs);
    const finish = (): void => {
      clearTimeout(timer);
      call.signal?.removeEventListener('abort', abort);
    };
    const failWith = (err: Error): void => {
      finish();
      const kind = connection === 'opening' ? 'unreachable' : 'no-answer';
      reject(new TransportError(kind, err.message));
    };
    if (call.signal?.aborted) abort();
    call.signal?.addEventListener('abort', abort);
    req.on('socket', socket => {
      if (!socket.connecting) {
        connection = 'open';
        return;
      }
      socket.once('connect', () => {
        connection = 'open';
      });
    });
    req.on('error', failWith);
    req.on('response', res => {
      const chunks: Buffer[] = [];
      res.on('data', (chunk: Buffer) => chunks.push(chunk));
      res.on('error', failWith);
      res.on('end', () => {
        finish();
        resolve({
          status: res.statusCode ?? 0,
          body: Buffer.concat(chunks).toString(),
        });
      });
    });
    req.end(call.body);
  });
}
