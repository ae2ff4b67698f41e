import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {createPeerHttpServer} from './peer_http_server.js';
import type {PeerServerLimits, ServedRouter} from './peer_http_server.js';

/**
 * Longer than the idle timeout of `PeerClient`, so that the client closes first
 * and sends no request on a connection that the server is closing.
 */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

/** Bytes of requests and responses, including HTTP headers. */
export interface PeerTraffic {
  readonly received: number;
  readonly sent: number;
}

/** Serves the requests of other VMs. */
export class PeerServer {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private closedTraffic: PeerTraffic = {received: 0, sent: 0};

  constructor(
    served: ServedRouter,
    onFault: (err: unknown) => void,
    limits?: PeerServerLimits,
  ) {
    this.server = createPeerHttpServer(served, onFault, limits);
    this.server.on('connection', socket => this.trackTraffic(socket));
    this.server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  }

  /** Listens on `host:port`. */
  listen(address: string): Promise<void> {
    const separator = address.lastIndexOf(':');
    const host = address.slice(0, separator);
    const port = Number(address.slice(separator + 1));
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /**
   * The traffic since the start, for checks of the limit on the control cost of
   * a VM.
   */
  get traffic(): PeerTraffic {
    return [...this.sockets].map(trafficOf).reduce(add, this.closedTraffic);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private trackTraffic(socket: Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => {
      this.sockets.delete(socket);
      this.closedTraffic = add(this.closedTraffic, trafficOf(socket));
    });
  }
}

function trafficOf(socket: Socket): PeerTraffic {
  return {received: socket.bytesRead, sent: socket.bytesWritten};
}

function add(a: PeerTraffic, b: PeerTraffic): PeerTraffic {
  return {received: a.received + b.received, sent: a.sent + b.sent};
}
