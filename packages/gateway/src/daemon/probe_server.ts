import {STATUS_CODES} from 'node:http';
import {createServer} from 'node:net';
import type {Socket} from 'node:net';
import type {EntryPoint} from '../callers/limit_log.js';
import type {LimitReporter} from '../callers/limit_reporter.js';

/** More than balancers and collectors open. */
const MAX_CONNECTIONS = 64;
/** The longest head of a request. */
const MAX_HEAD_BYTES = 8_192;
/** The time for a request, its response and the end of the connection. */
const CONNECTION_TIMEOUT_MS = 10_000;
/** A client that does not close after its response is disconnected. */
const LINGER_MS = 1_000;

/** The response to one request. */
export interface ProbeResponse {
  readonly status: 200 | 400 | 404 | 500 | 503;
  readonly contentType?: string;
  readonly body: string;
}

/** Responds to a request by its method and path. */
export type ProbeHandler = (
  method: string,
  path: string,
) => ProbeResponse | Promise<ProbeResponse>;

/**
 * An HTTP server for probes, which handles one request on each connection and
 * ignores its body. The server of Node.js creates all requests that arrive in
 * one piece at once; 100 connections that sent 4,000 each ended the process.
 */
export class ProbeServer {
  /** The open connections, oldest first. */
  private readonly open = new Set<Socket>();
  private readonly server = createServer({allowHalfOpen: true}, socket =>
    this.accept(socket),
  );

  constructor(
    private readonly entry: EntryPoint,
    private readonly limits: Pick<LimitReporter, 'exceeded'>,
    private readonly handler: ProbeHandler,
  ) {}

  /** Listens on an address of the form `host:port`. */
  listen(address: string): void {
    const separator = address.lastIndexOf(':');
    this.server.listen(
      Number(address.slice(separator + 1)),
      address.slice(0, separator),
    );
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    for (const socket of this.open) socket.destroy();
  }

  /**
   * Accepts a connection. It replaces the oldest one at the limit, so that
   * clients which stay do not lock out the balancer.
   */
  private accept(socket: Socket): void {
    this.open.add(socket);
    const timer = setTimeout(
      () => this.closeFor('message-time', socket),
      CONNECTION_TIMEOUT_MS,
    );
    socket.once('close', () => {
      clearTimeout(timer);
      this.open.delete(socket);
    });
    socket.on('error', () => undefined);
    const [oldest] = this.open;
    if (this.open.size > MAX_CONNECTIONS && oldest) {
      this.closeFor('connections', oldest);
    }
    this.receive(socket);
  }

  private receive(socket: Socket): void {
    let head = '';
    let state: 'reading' | 'answered' = 'reading';
    socket.on('end', () => {
      if (state === 'reading') socket.destroy();
    });
    socket.on('data', chunk => {
      if (state === 'answered') return;
      head += chunk.toString('latin1', 0, MAX_HEAD_BYTES);
      if (head.includes('\r\n\r\n')) {
        state = 'answered';
        void this.respond(socket, head);
      } else if (head.length >= MAX_HEAD_BYTES) {
        this.closeFor('message-size', socket);
      }
    });
  }

  private async respond(socket: Socket, head: string): Promise<void> {
    const [line, method = '', path = ''] =
      /^([A-Z]+) (\S+) HTTP\/1\.[01]\r\n/.exec(head) ?? [];
    const res: ProbeResponse =
      line === undefined
        ? {status: 400, body: ''}
        : await this.handle(method, path);
    const lines = [
      `HTTP/1.1 ${res.status} ${STATUS_CODES[res.status]}`,
      `Content-Length: ${Buffer.byteLength(res.body)}`,
      ...(res.contentType ? [`Content-Type: ${res.contentType}`] : []),
      'Connection: close',
    ];
    const body = method === 'HEAD' ? '' : res.body;
    socket.once('finish', () => {
      const linger = setTimeout(() => socket.destroy(), LINGER_MS);
      socket.once('close', () => clearTimeout(linger));
    });
    if (socket.writable) socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`);
  }

  private async handle(method: string, path: string): Promise<ProbeResponse> {
    try {
      return await this.handler(method, path);
    } catch {
      return {status: 500, body: ''};
    }
  }

  private closeFor(
    limit: 'connections' | 'message-time' | 'message-size',
    socket: Socket,
  ): void {
    this.limits.exceeded(limit, this.entry, socket.remoteAddress ?? '');
    this.open.delete(socket);
    socket.destroy();
  }
}
