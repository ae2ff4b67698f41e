import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {ExceededLimit} from '@pistachiorill/core';

const CHECK_INTERVAL_MS = 1_000;
const MAX_HEADER_BYTES = 16 * 1_024;
/**
 * Requests on one connection that are not answered yet. The clients of this
 * project send the next request only after the response.
 */
const MAX_REQUESTS_AHEAD = 4;

/** The limits of an HTTP server for its connections. */
export interface HttpServerLimits {
  readonly connections: number;
  /** Time in which the header of a request must arrive. */
  readonly headerTimeoutMs: number;
  /** Time in which a whole request must arrive. */
  readonly requestTimeoutMs: number;
}

/** Called when a connection was closed or refused because of a limit. */
export type OnExceeded = (limit: ExceededLimit, address: string) => void;

interface SocketUse {
  /** Requests that were answered. */
  answered: number;
  /** Requests that have arrived and are not answered yet. */
  pending: number;
}

/**
 * Creates an HTTP server that bounds its connections and the requests on each.
 * Beyond the limit, a new connection replaces the oldest one on which no request
 * was completed; it is refused if there is none.
 */
export function createLimitedHttpServer(
  limits: HttpServerLimits,
  onExceeded: OnExceeded,
  handle: (req: IncomingMessage, res: ServerResponse) => void,
): Server {
  const sockets = new Map<Socket, SocketUse>();
  const close = (socket: Socket, limit: ExceededLimit): void => {
    onExceeded(limit, socket.remoteAddress ?? 'unknown');
    // At once, as the count of connections must not rise further.
    sockets.delete(socket);
    socket.destroy();
  };
  const server = createServer(
    {
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
      headersTimeout: limits.headerTimeoutMs,
      requestTimeout: Math.max(limits.headerTimeoutMs, limits.requestTimeoutMs),
      maxHeaderSize: MAX_HEADER_BYTES,
    },
    (req, res) => {
      const use = sockets.get(req.socket);
      if (!use) return;
      if (use.pending >= MAX_REQUESTS_AHEAD) {
        close(req.socket, 'requests-ahead');
        return;
      }
      use.pending += 1;
      res.once('close', () => {
        use.pending -= 1;
        use.answered += 1;
      });
      handle(req, res);
    },
  );
  server.on('connection', socket => {
    if (sockets.size >= limits.connections) {
      const unused = [...sockets].find(
        ([, use]) => use.answered === 0 && use.pending === 0,
      );
      close(unused?.[0] ?? socket, 'connections');
      if (!unused) return;
    }
    sockets.set(socket, {answered: 0, pending: 0});
    socket.once('close', () => sockets.delete(socket));
  });
  return server;
}
