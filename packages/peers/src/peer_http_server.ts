import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {
  TRPCError,
  callTRPCProcedure,
  getTRPCErrorFromUnknown,
} from '@trpc/server';
import {getHTTPStatusCodeFromError} from '@trpc/server/http';
import type {AnyRouter} from '@trpc/server';
import {TRPC_ERROR_CODES_BY_KEY} from '@trpc/server/rpc';
import {createLimitedHttpServer} from './limited_http_server.js';
import type {HttpServerLimits, OnExceeded} from './limited_http_server.js';
import {PeerBodyReader} from './peer_body_reader.js';
import type {BodyLimits} from './peer_body_reader.js';

const MIB = 1_048_576;

/** The limits of the server for other VMs. */
export interface PeerServerLimits extends HttpServerLimits, BodyLimits {
  readonly onExceeded: OnExceeded;
}

/**
 * Limits that no VM reaches: bodies hold a statement of 1 MiB in JSON or a
 * document, and each VM has a few connections.
 */
export const DEFAULT_PEER_LIMITS: PeerServerLimits = {
  connections: 1_024,
  headerTimeoutMs: 10_000,
  requestTimeoutMs: 60_000,
  bodyBytes: 8 * MIB,
  bodiesBytes: 24 * MIB,
  bodyTimeoutMs: 30_000,
  onExceeded: () => undefined,
};

interface HttpResponse {
  readonly status: number;
  readonly body: string;
}

/** A tRPC router and the context that its procedures receive. */
export interface ServedRouter {
  readonly router: AnyRouter;
  readonly context: object;
}

/**
 * Serves a router over `node:http`. The standalone adapter of tRPC is not used,
 * as it converts each request to a web `Request` with streams, which costs
 * about 1.5 ms more CPU time per call.
 */
export function createPeerHttpServer(
  served: ServedRouter,
  onFault: (err: unknown) => void,
  limits: PeerServerLimits = DEFAULT_PEER_LIMITS,
): Server {
  const bodies = new PeerBodyReader(limits, limits.onExceeded);
  const handle = async (
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> => {
    const body = await bodies.read(req);
    try {
      send(res, await call(served, req, body.text));
    } finally {
      body.release();
    }
    limitReadTime(req, res, limits);
  };
  return createLimitedHttpServer(limits, limits.onExceeded, (req, res) => {
    handle(req, res)
      .catch(err => sendError(req, res, toErrorResponse(err, onFault)))
      .catch(onFault);
  });
}

/** Closes the connection of a client that does not read its response. */
function limitReadTime(
  req: IncomingMessage,
  res: ServerResponse,
  {bodyTimeoutMs, onExceeded}: PeerServerLimits,
): void {
  if (!req.socket.writableNeedDrain) return;
  const timer = setTimeout(() => {
    onExceeded('read-time', req.socket.remoteAddress ?? 'unknown');
    req.socket.destroy();
  }, bodyTimeoutMs);
  res.once('close', () => clearTimeout(timer));
}

/** Sends an error, and closes the connection if the body was not read. */
function sendError(
  req: IncomingMessage,
  res: ServerResponse,
  answer: HttpResponse,
): void {
  if (!req.complete) {
    res.setHeader('connection', 'close');
    res.once('finish', () => req.socket.destroySoon());
  }
  send(res, answer);
}

async function call(
  {router, context}: ServedRouter,
  req: IncomingMessage,
  body: string,
): Promise<HttpResponse> {
  const data = await callTRPCProcedure({
    router,
    path: (req.url ?? '').slice(1),
    type: 'mutation',
    getRawInput: async () => parseInput(body),
    ctx: context,
    signal: undefined,
    batchIndex: 0,
  });
  return {status: 200, body: JSON.stringify({result: {data}})};
}

function parseInput(body: string): unknown {
  if (body === '') return undefined;
  try {
    return JSON.parse(body);
  } catch (cause) {
    throw new TRPCError({code: 'PARSE_ERROR', cause});
  }
}

function toErrorResponse(
  err: unknown,
  onFault: (err: unknown) => void,
): HttpResponse {
  const error = getTRPCErrorFromUnknown(err);
  if (error.code === 'INTERNAL_SERVER_ERROR') onFault(error);
  return {
    status: getHTTPStatusCodeFromError(error),
    body: JSON.stringify({
      error: {
        message: error.message,
        code: TRPC_ERROR_CODES_BY_KEY[error.code],
        data: {code: error.code},
      },
    }),
  };
}

function send(res: ServerResponse, {status, body}: HttpResponse): void {
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  res.end(body);
}
