import type {Socket} from 'node:net';
import type {ResultColumn, StatementResult} from '@pistachiorill/core';
import {RawPacket} from './raw_packet.js';

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
const CHARACTER_SET_UTF8MB4 = 45;
const SERVER_STATUS_AUTOCOMMIT = 2;

/** A request is packet 0, so its response starts with packet 1. */
const FIRST_REPLY_SEQUENCE_ID = 1;

/** Time limit for a client to send its credentials. */
const HANDSHAKE_TIMEOUT_MS = 10_000;

/** Idle time before the operating system sends TCP keep-alive probes. */
const TCP_KEEP_ALIVE_DELAY_MS = 30_000;

/** Time after which a client that does not read its response is disconnected. */
const SLOW_READER_TIMEOUT_MS = 30_000;

/** Limits the buffer for one request; the protocol has the same packet limit. */
const MAX_REQUEST_BYTES = 16_777_216;

const REQUEST_TOO_LARGE: ClientError = {
  errno: 1153,
  sqlState: '08S01',
  message: `not run: too-large: a request may have ${MAX_REQUEST_BYTES} bytes`,
};

/** The login of a client. */
export interface HandshakeRequest {
  readonly user: string;
  readonly database: string;
  /** The challenge that the server sent in its greeting. */
  readonly challenge: Uint8Array;
  /** The client's response to the challenge; see `matchesVerifier`. */
  readonly answer: Uint8Array;
}

/** The fields of an error packet to a client. */
export interface ClientError {
  readonly errno: number;
  readonly sqlState: string;
  readonly message: string;
}

/** The part of mysql2's server connection that this module uses. */
export interface RawServerConnection {
  readonly stream: Socket;
  /** Sequence number of the next packet in the current exchange. */
  sequenceId: number;
  serverHandshake(args: object): void;
  on(event: string, listener: (...args: unknown[]) => void): void;
  writeColumns(columns: object[]): void;
  writePacket(packet: RawPacket): void;
  writeEof(): void;
  writeOk(args?: object): void;
  close(): void;
  // eslint-disable-next-line @typescript-eslint/naming-convention -- mysql2 names it so.
  _resetSequenceId(): void;
}

/** Handlers for a client's actions; calls for one connection never overlap. */
export interface ServerConnectionEvents {
  /** Returns the error to send if the login is refused. */
  readonly onHandshake: (req: HandshakeRequest) => ClientError | undefined;
  readonly onQuery: (sql: string) => void;
  /** Called for an unsupported command; `reason` states why it is refused. */
  readonly onUnsupported: (reason: string) => void;
  readonly onClose: () => void;
}

const UNSUPPORTED_COMMANDS: Readonly<Record<string, string>> = {
  stmt_prepare: 'prepared statements are not supported; send text queries',
  init_db: 'the database cannot be changed on an open connection',
  field_list: 'the field list command is not supported',
};

/** The server side of a client connection. */
export class ServerConnection {
  private state: 'open' | 'closed' = 'open';
  private requestBytes = 0;
  private slowReaderTimer: NodeJS.Timeout | undefined;
  private readonly handshakeTimer: NodeJS.Timeout;

  constructor(
    private readonly raw: RawServerConnection,
    private readonly connectionId: number,
    private readonly events: ServerConnectionEvents,
  ) {
    // A response consists of several small writes. With Nagle's algorithm it
    // would take about 40 ms.
    raw.stream.setNoDelay(true);
    raw.stream.setKeepAlive(true, TCP_KEEP_ALIVE_DELAY_MS);
    raw.stream.on('data', (chunk: Buffer) =>
      this.countRequestBytes(chunk.length),
    );
    raw.stream.on('end', () => this.close());
    raw.stream.on('drain', () => clearTimeout(this.slowReaderTimer));
    this.handshakeTimer = setTimeout(() => this.close(), HANDSHAKE_TIMEOUT_MS);
    raw.on('query', sql => {
      this.requestBytes = 0;
      if (this.state === 'open') events.onQuery(String(sql));
    });
    for (const [event, reason] of Object.entries(UNSUPPORTED_COMMANDS)) {
      raw.on(event, () => events.onUnsupported(reason));
    }
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
    this.raw._resetSequenceId();
    this.startSlowReaderTimer();
  }

  /** Sends an error for the current request; does nothing once closed. */
  sendError(err: ClientError): void {
    if (this.state === 'closed') return;
    this.raw.writePacket(RawPacket.error(err.errno, err.sqlState, err.message));
    this.raw._resetSequenceId();
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
    this.raw.stream.end();
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
    clearTimeout(this.handshakeTimer);
    this.requestBytes = 0;
    if (refusal) {
      this.sendError(refusal);
      this.close();
      return;
    }
    done(null);
    this.raw._resetSequenceId();
  }

  /** Limits the memory that a client's request can occupy. */
  private countRequestBytes(count: number): void {
    this.requestBytes += count;
    if (this.requestBytes <= MAX_REQUEST_BYTES) return;
    this.sendError(REQUEST_TOO_LARGE);
    this.close();
  }

  private startSlowReaderTimer(): void {
    if (!this.raw.stream.writableNeedDrain) return;
    clearTimeout(this.slowReaderTimer);
    this.slowReaderTimer = setTimeout(() => {
      this.raw.stream.destroy();
      this.closed();
    }, SLOW_READER_TIMEOUT_MS);
  }

  private closed(): void {
    if (this.state === 'closed') return;
    this.state = 'closed';
    clearTimeout(this.handshakeTimer);
    clearTimeout(this.slowReaderTimer);
    this.events.onClose();
  }
}

interface RawHandshake {
  readonly user?: string;
  readonly database?: string;
  readonly authPluginData1: Buffer;
  readonly authPluginData2: Buffer;
  readonly authToken?: Buffer;
}

type HandshakeDone = (err: null) => void;

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
