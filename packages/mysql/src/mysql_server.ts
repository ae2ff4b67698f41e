import * as mysql2 from 'mysql2';
import type {Server} from 'node:net';
import {splitAddress} from './backend_connection.js';
import type {RawServerConnection} from './raw_server_connection.js';

interface RawServer {
  readonly _server: Server;
  on(event: 'connection', listener: (raw: RawServerConnection) => void): void;
  listen(port: number, host: string, ready: () => void): void;
  close(done: () => void): void;
}

/** A listening socket for MySQL clients. */
export class MysqlServer {
  private readonly raw = createRawServer();
  private nextId = 1;

  /**
   * Calls `onConnection` with each accepted connection and its unique id. More
   * than `maxConnections` at a time are closed at once.
   */
  constructor(
    onConnection: (raw: RawServerConnection, id: number) => void,
    maxConnections?: number,
  ) {
    if (maxConnections !== undefined) {
      this.raw._server.maxConnections = maxConnections;
    }
    this.raw.on('connection', raw => {
      onConnection(raw, this.nextId);
      this.nextId += 1;
    });
  }

  /** Listens on `host:port` and returns the bound port, as port 0 picks one. */
  listen(address: string): Promise<number> {
    const {host, port} = splitAddress(address);
    return new Promise((resolve, reject) => {
      this.raw._server.once('error', reject);
      this.raw.listen(port, host, () => {
        const bound = this.raw._server.address();
        resolve(typeof bound === 'object' && bound ? bound.port : port);
      });
    });
  }

  /** Stops accepting connections; established ones stay open. */
  close(): void {
    this.raw.close(() => undefined);
  }
}

/** Casts, as the types of mysql2 require a handler that is optional. */
function createRawServer(): RawServer {
  const create = mysql2.createServer as unknown as () => RawServer;
  return create();
}
