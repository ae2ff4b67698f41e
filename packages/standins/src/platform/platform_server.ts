import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {setTimeout as delay} from 'node:timers/promises';
import {handleRequest} from './handle_request.js';
import {createPlatformState} from './platform_state.js';

/** The HTTP server of the stand-in platform. */
export class PlatformServer {
  private readonly state = createPlatformState();
  private readonly server: Server;

  private constructor() {
    this.server = createServer((req, res) => {
      void this.respond(req, res);
    });
  }

  /** Starts the platform and returns its port, as the requested one may be 0. */
  static start(
    host: string,
    port: number,
  ): Promise<{port: number; server: PlatformServer}> {
    const platform = new PlatformServer();
    return new Promise((resolve, reject) => {
      platform.server.once('error', reject);
      platform.server.listen(port, host, () => {
        const bound = platform.server.address();
        resolve({
          port: typeof bound === 'object' && bound ? bound.port : port,
          server: platform,
        });
      });
    });
  }

  /** Stops the server and closes all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async respond(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://platform');
    const chunks: Buffer[] = [];
    for await (const chunk of req) chunks.push(chunk as Buffer);
    const fault = url.pathname === '/faults' ? 'none' : this.state.fault;
    if (fault === 'outage') {
      res.writeHead(503).end();
      return;
    }
    if (fault === 'slow') await delay(this.state.slowMs);
    const answer = handleRequest(
      {
        method: req.method ?? 'GET',
        url,
        ifMatch: req.headers['if-match'],
        body: Buffer.concat(chunks).toString(),
      },
      this.state,
    );
    if (fault === 'lost-answers') {
      req.socket.destroy();
      return;
    }
    res.writeHead(answer.status).end(answer.body);
  }
}
