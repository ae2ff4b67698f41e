import type {
  ConnectionUsage,
  ExceededLimit,
  ResultColumn,
  StatementResult,
} from '@pistachiorill/core';
import {ClientTimer} from './client_timer.js';
import {SingleConnectionGuard} from './connection_guard.js';
import type {ConnectionGuard, GuardedConnection} from './connection_guard.js';
import {LIMIT_ERRORS, OVERLOADED, OVERSIZED} from './limit_errors.js';
import type {ClientError} from './limit_errors.js';
import {PacketReader} from './packet_reader.js';
import {RawPacket} from './raw_packet.js';
import type {
  HandshakeDone,
  RawHandshake,
  RawPacketParser,
  RawServerConnection,
  ServerConnectionEvents,
} from './raw_server_connection.js';

/** Offered protocol features, without compression, TLS or multi-statements. */
const CAPABILITIES = [
  0x1, // long password
  0x2, // found rows
  0x4, // long column flags
  0x8, // database name in the handshake
  0x200, // protocol 4.1
  0x2000, // transactions
  0x8000, // challenge and response
  0x20000, // multiple results
  0x80000, // authentication plugin name
].reduce((all, flag) => all | flag, 0);
const PACKET_HEADER_BYTES = 4;
const SEQUENCE_OFFSET = 3;
const COMMAND_BYTES = 1;
const CHARACTER_SET_UTF8MB4 = 45;
const SERVER_STATUS_AUTOCOMMIT = 2;

/** A request is packet 0, so its response starts with packet 1. */
const FIRST_REPLY_SEQUENCE_ID = 1;

/** Idle time before the operating system sends TCP keep-alive probes. */
const TCP_KEEP_ALIVE_DELAY_MS = 30_000;

/** Time that a client has to read a last error and to close its side. */
const LINGER_MS = 2_000;

/** The commands that `mysql2` passes on or answers in a way known here. */
const KNOWN_COMMANDS: ReadonlySet<number> = new Set([
  0x01, // quit
  0x02, // init db
  0x03, // query
  0x04, // field list
  0x0e, // ping
  0x16, // prepare
]);

const UNSUPPORTED_COMMANDS: Readonly<Record<string, string>> = {
  stmt_prepare: 'prepared statements are not supported; send text queries',
  stmt_execute: 'prepared statements are not supported; send text queries',
  init_db: 'the database cannot be changed on an open connection',
  field_list: 'the field list command is not supported',
};

const NO_BYTES = Buffer.alloc(0);

/** The server side of a client connection. */
export class ServerConnection implements GuardedConnection {
  private state: 'open' | 'closed' = 'open';
  private transaction: 'none' | 'open' = 'none';
  private served = 0;
  private progressAt: number;
  /** Bytes of the packet that has begun and holds a reservation. */
  private reservedBytes = 0;
  private readonly readTimer: ClientTimer;
  private readonly packetTimer: ClientTimer;
  private readonly loginTimer: ClientTimer;
  private readonly reader: PacketReader;
  private readonly parser: RawPacketParser;
  phase: 'login' | 'commands' = 'login';

  constructor(
    private readonly raw: RawServerConnection,
    private readonly connectionId: number,
    private readonly events: ServerConnectionEvents,
    private readonly guard: ConnectionGuard = new SingleConnectionGuard(),
  ) {
    const {limits} = guard;
    this.progressAt = guard.now();
    // A response consists of several small writes. With Nagle's algorithm it
    // would take about 40 ms.
    raw.stream.setNoDelay(true);
    raw.stream.setKeepAlive(true, TCP_KEEP_ALIVE_DELAY_MS);
    raw.stream.on('end', () => this.close());
    raw.stream.on('drain', () => this.drained());
    this.loginTimer = new ClientTimer(limits.loginTimeoutMs, () =>
      this.shed('login-time'),
    );
    this.packetTimer = new ClientTimer(limits.packetTimeoutMs, () =>
      this.shed(
        this.reader.progress === 'waiting' ? 'inbound-bytes' : 'packet-time',
      ),
    );
    this.readTimer = new ClientTimer(limits.readTimeoutMs, () =>
      this.shed('read-time'),
    );
    this.loginTimer.start();
    this.reader = new PacketReader(limits, {
      reserve: bytes => this.reserve(bytes),
      onBegun: () => this.startPacketTimer(),
      onPacket: packet => this.handlePacket(packet),
      onDiscarded: bytes => this.handleOversized(bytes),
      onRefused: () =>
        this.shed(this.phase === 'login' ? 'login-bytes' : 'packet-bytes'),
    });
    this.parser = raw.packetParser;
    raw.packetParser = {execute: chunk => this.receive(chunk)};
    raw.on('query', sql => {
      if (this.state === 'open') events.onQuery(String(sql));
    });
    for (const [event, reason] of Object.entries(UNSUPPORTED_COMMANDS)) {
      raw.on(event, () => events.onUnsupported(reason));
    }
    raw.on('ping', () => {
      raw.writeOk();
      this.answered();
    });
    raw.on('quit', () => this.close());
    raw.on('warn', () => this.close());
    raw.on('error', () => this.close());
    raw.stream.on('close', () => this.closed());
  }

  /** Sends the greeting and authenticates the client. */
  handshake(serverVersion: string): void {
    this.raw.serverHandshake({
      protocolVersion: 10,
      serverVersion,
      connectionId: this.connectionId,
      statusFlags: SERVER_STATUS_AUTOCOMMIT,
      characterSet: CHARACTER_SET_UTF8MB4,
      capabilityFlags: CAPABILITIES,
      authCallback: (req: RawHandshake, done: HandshakeDone) => {
        this.authenticate(req, done);
      },
    });
  }

  /** The client's IP address, or `unknown` once the socket is destroyed. */
  get remoteAddress(): string {
    return this.raw.stream.remoteAddress ?? 'unknown';
  }

  /** Sends the result of the current request; does nothing once closed. */
  sendResult(result: StatementResult): void {
    if (this.state === 'closed') return;
    if (result.kind === 'done') {
      this.raw.writeOk({
        affectedRows: result.affectedRows,
        insertId: result.insertId,
      });
    } else {
      this.raw.writeColumns(result.columns.map(toColumnDefinition));
      for (const row of result.rows) {
        this.raw.writePacket(RawPacket.row(row));
      }
      this.raw.writeEof();
    }
    this.answered();
  }

  /** Sends an error for the current request; does nothing once closed. */
  sendError(err: ClientError): void {
    if (this.state === 'closed') return;
    this.raw.writePacket(RawPacket.error(err.errno, err.sqlState, err.message));
    this.answered();
  }

  /** Records whether the client has an open transaction; see `usage`. */
  setTransaction(transaction: 'none' | 'open'): void {
    this.transaction = transaction;
  }

  get usage(): ConnectionUsage {
    return {
      id: this.connectionId,
      inboundBytes:
        this.reader.progress === 'in-packet' ? this.reservedBytes : 0,
      outboundBytes: this.raw.stream.writableLength,
      idleSince: this.progressAt,
      transaction: this.transaction,
      served: this.served,
    };
  }

  granted(): void {
    this.startPacketTimer();
    this.reader.granted();
    this.applyDemand();
  }

  /** Sends an error that states the exceeded limit, and closes. */
  shed(limit: ExceededLimit): void {
    if (this.state === 'closed') return;
    this.guard.onExceeded(limit, this.remoteAddress);
    if (limit === 'read-time' || limit === 'outbound-bytes') {
      this.raw.stream.destroy();
      this.closed();
      return;
    }
    this.closeWithError(LIMIT_ERRORS[limit] ?? OVERLOADED);
  }

  /** Frees what the connection holds, once its last request has ended. */
  dispose(): void {
    this.guard.release(this.connectionId);
  }

  get isOpen(): boolean {
    return this.state === 'open';
  }

  /**
   * Sends an error and closes. If a request of the client is already in transit,
   * the error serves as its response. Such a request is never passed to
   * `onQuery`, so an error that states "not run" is correct for it.
   */
  closeWithError(err: ClientError): void {
    if (this.state === 'closed') return;
    this.raw.sequenceId = FIRST_REPLY_SEQUENCE_ID;
    this.sendError(err);
    this.close();
  }

  /** Closes the connection after all written data has been sent. */
  close(): void {
    if (this.state === 'closed') return;
    const {stream} = this.raw;
    stream.end();
    // A client that neither reads nor closes would keep the descriptor.
    const timer = setTimeout(() => stream.destroy(), LINGER_MS);
    timer.unref();
    stream.once('close', () => clearTimeout(timer));
    // Unread bytes of the client would keep `end` from being seen.
    stream.resume();
    this.closed();
  }

  private authenticate(req: RawHandshake, done: HandshakeDone): void {
    const refusal = this.events.onHandshake({
      user: req.user ?? '',
      database: req.database ?? '',
      challenge: Buffer.concat([
        req.authPluginData1,
        req.authPluginData2.subarray(0, 12),
      ]),
      answer: req.authToken ?? Buffer.alloc(0),
    });
    this.loginTimer.clear();
    if (refusal) {
      this.sendError(refusal);
      this.close();
      return;
    }
    done(null);
    this.phase = 'commands';
    this.answered();
  }

  private receive(chunk: Buffer): void {
    if (this.state === 'closed') return;
    this.progressAt = this.guard.now();
    this.reader.push(chunk);
    this.applyDemand();
  }

  /** Stops reading while received bytes cannot be processed. */
  private applyDemand(): void {
    const {stream} = this.raw;
    if (this.state === 'closed') return;
    if (this.reader.demand === 'pause') {
      stream.pause();
    } else if (stream.isPaused()) {
      stream.resume();
    }
  }

  private reserve(bytes: number): 'granted' | 'waiting' {
    this.reservedBytes = bytes;
    return this.guard.reserve(this.connectionId, bytes);
  }

  private startPacketTimer(): void {
    if (this.phase === 'login') return;
    this.packetTimer.start();
  }

  private handlePacket(packet: Buffer): void {
    this.packetTimer.clear();
    // `mysql2` would log each packet out of order.
    if (packet[SEQUENCE_OFFSET] !== (this.phase === 'login' ? 1 : 0)) {
      this.close();
      return;
    }
    const command = packet[PACKET_HEADER_BYTES];
    if (this.phase === 'commands' && !KNOWN_COMMANDS.has(command ?? 0)) {
      this.events.onUnsupported('the command is not supported');
      return;
    }
    this.parser.execute(packet);
    if (this.parser._reusablePacket) {
      this.parser._reusablePacket.buffer = NO_BYTES;
    }
  }

  private handleOversized(bytes: number): void {
    this.packetTimer.clear();
    this.guard.onExceeded('packet-bytes', this.remoteAddress);
    if (this.events.onOversized) {
      this.events.onOversized(bytes - COMMAND_BYTES);
    } else {
      this.closeWithError(OVERSIZED);
    }
  }

  /** The current request is answered: its memory is free for another one. */
  private answered(): void {
    this.raw._resetSequenceId();
    this.served += 1;
    if (this.reservedBytes > 0) {
      this.reservedBytes = 0;
      this.guard.release(this.connectionId);
    }
    if (!this.raw.stream.writableNeedDrain) {
      this.resumeReading();
      return;
    }
    this.progressAt = this.guard.now();
    if (this.readTimer.state === 'stopped') this.readTimer.start();
    this.guard.onUnread();
  }

  /** The client has read all answers. */
  private drained(): void {
    this.readTimer.clear();
    this.progressAt = this.guard.now();
    this.resumeReading();
  }

  /** Asynchronous, as further packets may have been received with this one. */
  private resumeReading(): void {
    setImmediate(() => {
      if (this.state === 'closed') return;
      this.reader.resume();
      this.applyDemand();
    });
  }

  private closed(): void {
    if (this.state === 'closed') return;
    this.state = 'closed';
    // A request that is being executed keeps its reservation until `dispose`.
    if (this.reader.progress !== 'busy') this.dispose();
    this.reader.end();
    this.loginTimer.clear();
    this.packetTimer.clear();
    this.readTimer.clear();
    this.events.onClose();
  }
}

function toColumnDefinition(column: ResultColumn): object {
  return {
    catalog: 'def',
    schema: '',
    table: column.table,
    orgTable: column.table,
    name: column.name,
    orgName: column.name,
    characterSet: column.characterSet,
    columnLength: column.columnLength,
    columnType: column.type,
    type: column.type,
    flags: column.flags,
    decimals: column.decimals,
  };
}
