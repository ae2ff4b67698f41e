import {readFileSync, readdirSync} from 'node:fs';
import type {Socket} from 'node:net';
import {connect as connectSocket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {parseProcessSettings} from '@pistachiorill/document';
import {createConnection as createRawConnection} from 'mysql2';
import {createConnection} from 'mysql2/promise';
import {Fleet} from '../../fleet.js';
import {AUTHORITY_PROFILE} from '../../profile.js';

/**
 * The memory and descriptors of the machine that the tests imitate. They are the
 * bounds of the measurements and the settings of the VM.
 */
export const MEMORY_MB = 256;
export const DESCRIPTORS = 300;

/** The heap limit with which operators run the program on such a machine. */
const NODE_OPTIONS = ['--max-old-space-size=160'];

const LIMITS = {
  memory_mb: String(MEMORY_MB),
  descriptors: String(DESCRIPTORS),
  login_timeout_ms: '2000',
  packet_timeout_ms: '2000',
  read_timeout_ms: '2000',
  transaction_idle_ms: '500',
};

const SAMPLE_INTERVAL_MS = 50;
const SETTLE_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 15_000;
const BUILD_FOLDER = fileURLToPath(
  new URL('../../../../../build', import.meta.url),
);

/** The outcome of a test, compared with what is expected of every crowd. */
export interface Outcome {
  readonly process: 'running' | 'ended';
  readonly memory: 'bounded' | 'exceeded';
  readonly descriptors: 'bounded' | 'exceeded';
  /** The answer to an ordinary request after the crowd. */
  readonly ordinary: unknown;
}

/** One VM with its group, whose memory and descriptors are measured. */
export class MeasuredVm {
  private descriptors = 0;
  private readonly sampler: NodeJS.Timeout;
  private readonly sockets: Socket[] = [];

  private constructor(readonly fleet: Fleet) {
    this.sampler = setInterval(() => {
      this.descriptors = Math.max(this.descriptors, this.openDescriptors());
    }, SAMPLE_INTERVAL_MS);
  }

  /**
   * Starts the VM. `vmPlatformUrl` replaces the address of the platform; the
   * fleet is passed on before it starts.
   */
  static async start(
    vmPlatformUrl?: string,
    onCreated: (fleet: Fleet) => void = () => undefined,
  ): Promise<MeasuredVm> {
    const fleet = new Fleet(
      {
        ...AUTHORITY_PROFILE,
        vmCount: 1,
        databaseCount: 1,
        statementMs: 1,
        workspaces: AUTHORITY_PROFILE.workspaces.map(item => ({
          ...item,
          rate: 100_000,
          burst: 100_000,
        })),
        vmNodeOptions: NODE_OPTIONS,
        limits: knownLimits(),
      },
      BUILD_FOLDER,
      'direct',
    );
    fleet.vmPlatformUrl = vmPlatformUrl;
    onCreated(fleet);
    await fleet.start();
    return new MeasuredVm(fleet);
  }

  get clientPort(): number {
    return this.fleet.vms[0]?.clientPort ?? 0;
  }

  get peerPort(): number {
    return this.fleet.vms[0]?.peerPort ?? 0;
  }

  get httpPort(): number {
    return this.fleet.vms[0]?.httpPort ?? 0;
  }

  /** Opens a TCP connection of the crowd, which never reads on its own. */
  async connect(port: number): Promise<Socket> {
    const socket = connectSocket({
      port,
      host: '127.0.0.1',
      localAddress: '127.0.0.2',
      noDelay: true,
    });
    this.sockets.push(socket);
    socket.on('error', () => undefined);
    socket.pause();
    await new Promise(resolve => {
      socket.once('connect', resolve);
      socket.once('close', resolve);
    });
    return socket;
  }

  /** Logs a client of the crowd in; undefined if it was refused. */
  login(): Promise<Socket | undefined> {
    const workspace = this.fleet.profile.workspaces[0];
    const socket = connectSocket({
      port: this.clientPort,
      host: '127.0.0.1',
      localAddress: '127.0.0.2',
      noDelay: true,
    });
    this.sockets.push(socket);
    const connection = createRawConnection({
      stream: socket,
      user: workspace?.name ?? '',
      password: workspace?.key ?? '',
      database: this.fleet.profile.service,
    });
    return new Promise(resolve => {
      connection.on('error', () => resolve(undefined));
      connection.connect(err => {
        socket.removeAllListeners('data');
        socket.pause();
        resolve(err ? undefined : socket);
      });
    });
  }

  /** Logs `count` clients in one after the other; drops refused ones. */
  async loginMany(count: number): Promise<Socket[]> {
    const sockets: Socket[] = [];
    for (let index = 0; index < count; index += 1) {
      const socket = await this.login();
      if (socket) sockets.push(socket);
    }
    return sockets;
  }

  /** Measures, ends the crowd and asks for one ordinary answer. */
  async finish(name: string): Promise<Outcome> {
    const ordinary = await this.answerOf('SELECT 1 AS one');
    const peakMb = this.peakMemoryMb();
    const {state} = this.vm;
    process.stdout.write(
      `${name}: peak RSS ${peakMb} MB of ${MEMORY_MB}, ` +
        `descriptors ${this.descriptors} of ${DESCRIPTORS}, ${state}, ` +
        `${JSON.stringify(ordinary)}\n`,
    );
    return {
      process: state,
      memory: peakMb <= MEMORY_MB ? 'bounded' : 'exceeded',
      descriptors: this.descriptors <= DESCRIPTORS ? 'bounded' : 'exceeded',
      ordinary,
    };
  }

  /** Sends one request on a connection of its own and returns its answer. */
  async answerOf(sql: string): Promise<unknown> {
    const workspace = this.fleet.profile.workspaces[1];
    const limit = delay(REQUEST_TIMEOUT_MS, 'no answer', {ref: false});
    const work = async (): Promise<unknown> => {
      try {
        const connection = await createConnection({
          host: '127.0.0.1',
          port: this.clientPort,
          user: workspace?.name ?? '',
          password: workspace?.key ?? '',
          database: this.fleet.profile.service,
        });
        connection.on('error', () => undefined);
        const [rows] = await connection.query(sql);
        connection.destroy();
        return rows;
      } catch (err) {
        return String(err);
      }
    };
    return Promise.race([work(), limit]);
  }

  /** Ends the crowd and all processes. */
  async stop(): Promise<void> {
    clearInterval(this.sampler);
    for (const socket of this.sockets) socket.destroy();
    await this.fleet.stop();
  }

  private get vm() {
    const child = this.fleet.vms[0]?.child;
    if (!child) throw new Error('the VM was not started');
    return child;
  }

  private peakMemoryMb(): number {
    if (this.vm.state === 'ended') return Number.POSITIVE_INFINITY;
    const status = readFileSync(`/proc/${this.vm.pid}/status`, 'utf8');
    // A process that is about to end has no such line any more.
    const kilobytes = /^VmHWM:\s+(\d+)/m.exec(status)?.[1] ?? 'Infinity';
    return Math.ceil(Number(kilobytes) / 1_024);
  }

  private openDescriptors(): number {
    if (this.vm.state === 'ended') return 0;
    return readdirSync(`/proc/${this.vm.pid}/fd`).length;
  }
}

/** The outcome that every crowd must have. */
export const BOUNDED: Outcome = {
  process: 'running',
  memory: 'bounded',
  descriptors: 'bounded',
  ordinary: [{one: 1}],
};

/** Writes all chunks, unless the other side stops reading or closes. */
export async function writeAll(
  sockets: readonly Socket[],
  chunks: readonly Buffer[],
): Promise<void> {
  await settle(
    sockets.map(
      socket =>
        new Promise(resolve => {
          socket.once('close', resolve);
          socket.on('error', resolve);
          for (const chunk of chunks) socket.write(chunk);
          socket.write(Buffer.alloc(0), resolve);
        }),
    ),
  );
}

/** Waits for all, or for as long as a crowd is left at it. */
export async function settle(work: Array<Promise<unknown>>): Promise<void> {
  const limit = delay(SETTLE_TIMEOUT_MS, undefined, {ref: false});
  await Promise.race([Promise.all(work), limit]);
}

/** Encodes one packet of the MySQL protocol with sequence number 0. */
export function packetOf(command: number, text: string): Buffer {
  const body = Buffer.concat([Buffer.of(command), Buffer.from(text)]);
  const header = Buffer.alloc(4);
  header.writeUIntLE(body.length, 0, 3);
  return Buffer.concat([header, body]);
}

/** Encodes a text query. */
export function queryOf(sql: string): Buffer {
  return packetOf(3, sql);
}

/** The limits that the program knows, as it rejects settings it does not know. */
function knownLimits(): Record<string, string> {
  const required = [
    '[vm]\nname = a\ndata_centre = a\nenvironment = trial',
    '[listen]\nclients = 10.0.0.1:1\npeers = 10.0.0.1:2\nhttp = 10.0.0.1:3',
    '[platform]\nurl = http://10.0.0.1:7000',
    '[backend]\nuser = a\npassword = a',
    'control_user = a\ncontrol_password = a',
  ].join('\n');
  return Object.fromEntries(
    Object.entries(LIMITS).filter(
      ([key, value]) =>
        parseProcessSettings(`${required}\n[limits]\n${key} = ${value}\n`).ok,
    ),
  );
}
