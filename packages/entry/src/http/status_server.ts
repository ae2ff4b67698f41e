import type {Server} from 'node:http';
import {splitAddress} from '@pistachiorill/mysql';
import {createLimitedHttpServer} from '@pistachiorill/peers';
import type {HttpServerLimits, OnExceeded} from '@pistachiorill/peers';
import type {VmStatus} from '@pistachiorill/store';
import type {Metrics} from '@pistachiorill/telemetry';

/** Whether the platform's load balancer should send clients to this VM. */
export type Readiness = 'ready' | 'not-ready';

/** The limits of the server and the listener for exceeded ones. */
export interface StatusServerLimits extends HttpServerLimits {
  readonly onExceeded: OnExceeded;
}

/** Serves `/healthz`, `/readyz`, `/status` and `/metrics`. */
export class StatusServer {
  private readonly server: Server;

  constructor(
    metrics: Metrics,
    readiness: () => Readiness,
    status: () => Promise<VmStatus>,
    limits: StatusServerLimits,
  ) {
    this.server = createLimitedHttpServer(
      limits,
      limits.onExceeded,
      (req, res) => {
        switch (req.url) {
          case '/healthz':
            res.writeHead(200).end('ok\n');
            return;
          case '/readyz':
            res
              .writeHead(readiness() === 'ready' ? 200 : 503)
              .end(`${readiness()}\n`);
            return;
          case '/status':
            void status().then(report => {
              res
                .writeHead(200, {'content-type': 'application/json'})
                .end(JSON.stringify(report));
            });
            return;
          case '/metrics':
            void metrics.registry.metrics().then(text => {
              const {contentType} = metrics.registry;
              res.writeHead(200, {'content-type': contentType}).end(text);
            });
            return;
          default:
            res.writeHead(404).end();
        }
      },
    );
  }

  /** Starts listening; rejects if the address cannot be used. */
  listen(address: string): Promise<void> {
    const {host, port} = splitAddress(address);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Closes the server and all its connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
