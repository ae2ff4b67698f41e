import type {Socket} from 'node:net';
import type {ClientError} from './limit_errors.js';
import type {RawPacket} from './raw_packet.js';

/** The login of a client. */
export interface HandshakeRequest {
  readonly user: string;
  readonly database: string;
  /** The challenge that the server sent in its greeting. */
  readonly challenge: Uint8Array;
  /** The client's response to the challenge; see `matchesVerifier`. */
  readonly answer: Uint8Array;
}

/** The part of mysql2's server connection that this module uses. */
export interface RawServerConnection {
  readonly stream: Socket;
  /** Splits received bytes into packets; replaced by a `PacketReader`. */
  packetParser: RawPacketParser;
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

/** The part of mysql2's packet parser that this module uses. */
export interface RawPacketParser {
  execute(chunk: Buffer): void;
  /** The last parsed packet, which keeps its bytes in memory. */
  readonly _reusablePacket?: {buffer: Buffer};
}

/** Handlers for a client's actions; calls for one connection never overlap. */
export interface ServerConnectionEvents {
  /** Returns the error to send if the login is refused. */
  readonly onHandshake: (req: HandshakeRequest) => ClientError | undefined;
  readonly onQuery: (sql: string) => void;
  /** Called for an unsupported command; `reason` states why it is refused. */
  readonly onUnsupported: (reason: string) => void;
  /** Called for a request of more bytes than the limit; it was not kept. */
  readonly onOversized?: (bytes: number) => void;
  readonly onClose: () => void;
}

/** The login as mysql2 passes it on. */
export interface RawHandshake {
  readonly user?: string;
  readonly database?: string;
  readonly authPluginData1: Buffer;
  readonly authPluginData2: Buffer;
  readonly authToken?: Buffer;
}

/** Tells mysql2 that the login is accepted. */
export type HandshakeDone = (err: null) => void;
