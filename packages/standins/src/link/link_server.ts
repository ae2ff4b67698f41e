import {createConnection, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import {splitAddress} from '@pistachiorill/mysql';

/** Whether a link relays data (`open`) or buffers it (`cut`). */
export type LinkState = 'open' | 'cut';

/** The faults of a link, which can change while it relays. */
export interface LinkSettings {
  readonly state: LinkState;
  /** Delay in each direction. */
  readonly delayMs: number;
  /** Addresses of clients for which the link is cut even while it is open. */
  readonly cutSources: readonly string[];
}

/** Received data that is delivered when its delay is over. */
interface DelayedChunk {
  readonly dueAt: number;
  /** Undefined marks the end of the stream. */
  readonly data: Buffer | undefined;
}

/**
 * A TCP relay with a delay in each direction. While a link is cut it buffers
 * the received data, as TCP does during a partition, and delivers it once the
 * link is open again.
 */
export class LinkServer {
  private readonly server: Server;
  private readonly directions = new Set<RelayDirection>();

  private constructor(
    private readonly target: string,
    private current: LinkSettings,
  ) {
    this.server = createServer({allowHalfOpen: true}, socket =>
      this.accept(socket),
    );
  }

  /** Listens on `listen` and returns the port, as the requested one may be 0. */
  static start(
    listen: string,
    target: string,
    settings: LinkSettings,
  ): Promise<{port: number; server: LinkServer}> {
    const link = new LinkServer(target, settings);
    const {host, port} = splitAddress(listen);
    return new Promise((resolve, reject) => {
      link.server.once('error', reject);
      link.server.listen(port, host, () => {
        const bound = link.server.address() as AddressInfo;
        resolve({port: bound.port, server: link});
      });
    });
  }

  get settings(): LinkSettings {
    return this.current;
  }

  /** Changes the settings and delivers buffered data that is now due. */
  change(changes: Partial<LinkSettings>): void {
    this.current = {...this.current, ...changes};
    for (const direction of this.directions) direction.flush();
  }

  /** Stops listening and closes all relayed connections. */
  close(): void {
    this.server.close();
    for (const direction of this.directions) direction.close();
  }

  private settingsFor(client: Socket): LinkSettings {
    const cut = this.current.cutSources.includes(client.remoteAddress ?? '');
    return cut ? {...this.current, state: 'cut'} : this.current;
  }

  private accept(client: Socket): void {
    const {host, port} = splitAddress(this.target);
    const upstream = createConnection({host, port, allowHalfOpen: true});
    for (const [from, to] of [
      [client, upstream],
      [upstream, client],
    ] as const) {
      const direction = new RelayDirection(from, to, () =>
        this.settingsFor(client),
      );
      this.directions.add(direction);
      from.on('close', () => this.directions.delete(direction));
      from.on('error', () => to.destroy());
    }
  }
}

/** Relays one direction of one connection. */
class RelayDirection {
  private queue: DelayedChunk[] = [];
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly from: Socket,
    private readonly to: Socket,
    private readonly settings: () => LinkSettings,
  ) {
    from.setNoDelay(true);
    from.on('data', data => this.add(data));
    from.on('end', () => this.add(undefined));
  }

  /** Delivers the data that is due and sets a timer for the rest. */
  flush(): void {
    clearTimeout(this.timer);
    if (this.settings().state === 'cut') return;
    while (this.queue[0] && this.queue[0].dueAt <= performance.now()) {
      const {data} = this.queue.shift() as DelayedChunk;
      if (data) this.to.write(data);
      else this.to.end();
    }
    const [next] = this.queue;
    if (!next) return;
    // Timers have a resolution of 1 ms; rounding down would fire too early.
    const waitMs = Math.ceil(next.dueAt - performance.now());
    this.timer = setTimeout(() => this.flush(), waitMs);
  }

  close(): void {
    clearTimeout(this.timer);
    this.from.destroy();
  }

  private add(data: Buffer | undefined): void {
    const dueAt = performance.now() + this.settings().delayMs;
    this.queue.push({dueAt, data});
    if (this.queue.length === 1) this.flush();
  }
}
