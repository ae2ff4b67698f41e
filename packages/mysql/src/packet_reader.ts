import {decidePacket} from '@pistachiorill/core';
import type {ClientLimits, ConnectionPhase} from '@pistachiorill/core';

const HEADER_BYTES = 4;
/** A packet of this length is continued by the next one. */
const CONTINUED_LENGTH = 0xffffff;

/** `busy` from a whole packet until it is answered. */
export type PacketProgress =
  'between-packets' | 'in-packet' | 'waiting' | 'busy';

/** Handlers of a `PacketReader`. */
export interface PacketEvents {
  /** Decides whether a packet's bytes are reserved now or granted later. */
  readonly reserve: (bytes: number) => 'granted' | 'waiting';
  /** The first byte of a packet has arrived. */
  readonly onBegun: () => void;
  /** A whole packet with its header; `resume` asks for the next one. */
  readonly onPacket: (packet: Buffer) => void;
  /** A packet of `bytes` was read to its end and not kept. */
  readonly onDiscarded: (bytes: number) => void;
  /** A packet exceeds what may be read; nothing further is read. */
  readonly onRefused: (bytes: number) => void;
}

/**
 * What the reader does with the next bytes. It is `busy` from a whole packet
 * until `resume`, and `waiting` for the reservation of a packet that has begun.
 */
type ReaderState = 'reading' | 'busy' | 'waiting' | 'ended';

/**
 * Splits the bytes of a client into packets, one at a time. Holds at most one
 * packet and one received chunk, as the socket is paused while bytes are left
 * over.
 */
export class PacketReader {
  private state: ReaderState = 'reading';
  private phase: ConnectionPhase = 'login';
  /** The part of the last chunk that is not processed yet. */
  private rest: Buffer = Buffer.alloc(0);
  private readonly header = Buffer.alloc(HEADER_BYTES);
  private headerBytes = 0;
  /** The packet that arrives; undefined while it is discarded. */
  private packet: Buffer | undefined;
  private packetBytes = 0;
  /** Bytes that the packet in arrival still lacks. */
  private missing = 0;
  /** Payload of the preceding parts of a continued packet. */
  private chainedBytes = 0;

  constructor(
    private readonly limits: ClientLimits,
    private readonly events: PacketEvents,
  ) {}

  /** Processes a received chunk. */
  push(chunk: Buffer): void {
    if (this.state === 'ended') return;
    this.rest =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    this.process();
  }

  /** Whether the socket should be read. */
  get demand(): 'read' | 'pause' {
    return this.rest.length === 0 && this.state !== 'waiting'
      ? 'read'
      : 'pause';
  }

  /** What has arrived of the packet that is read. */
  get progress(): PacketProgress {
    if (this.state === 'busy' || this.state === 'waiting') return this.state;
    return this.headerBytes === 0 && this.chainedBytes === 0
      ? 'between-packets'
      : 'in-packet';
  }

  /** Continues with the next packet; the client has logged in. */
  resume(): void {
    if (this.state !== 'busy') return;
    this.phase = 'commands';
    this.state = 'reading';
    this.process();
  }

  /** Continues with the packet whose bytes are reserved now. */
  granted(): void {
    if (this.state !== 'waiting') return;
    this.state = 'reading';
    this.allocate();
    this.process();
  }

  /** Drops all bytes, also those that arrive later. */
  end(): void {
    this.state = 'ended';
    this.rest = Buffer.alloc(0);
    this.packet = undefined;
  }

  private process(): void {
    while (this.state === 'reading' && this.rest.length > 0) {
      if (this.headerBytes < HEADER_BYTES) {
        this.readHeader();
      } else {
        this.readBody();
      }
    }
  }

  private readHeader(): void {
    if (this.headerBytes === 0 && this.chainedBytes === 0) {
      this.events.onBegun();
    }
    const taken = this.take(HEADER_BYTES - this.headerBytes);
    taken.copy(this.header, this.headerBytes);
    this.headerBytes += taken.length;
    if (this.headerBytes === HEADER_BYTES) this.beginBody();
  }

  private beginBody(): void {
    this.missing = this.header.readUIntLE(0, 3);
    const bytes = this.chainedBytes + this.missing;
    switch (decidePacket(this.phase, bytes, this.limits)) {
      case 'close':
        this.end();
        this.events.onRefused(bytes);
        return;
      case 'discard':
        this.packet = undefined;
        break;
      case 'reserve':
        if (this.events.reserve(bytes) === 'waiting') {
          this.state = 'waiting';
          return;
        }
        this.allocate();
        break;
      case 'buffer':
        this.allocate();
        break;
    }
    if (this.missing === 0) this.finishBody();
  }

  private allocate(): void {
    this.packet = Buffer.allocUnsafe(HEADER_BYTES + this.missing);
    this.header.copy(this.packet);
    this.packetBytes = HEADER_BYTES;
  }

  private readBody(): void {
    const taken = this.take(this.missing);
    this.missing -= taken.length;
    if (this.packet) taken.copy(this.packet, this.packetBytes);
    this.packetBytes += taken.length;
    if (this.missing === 0) this.finishBody();
  }

  private finishBody(): void {
    const {packet} = this;
    const length = this.header.readUIntLE(0, 3);
    this.headerBytes = 0;
    this.packet = undefined;
    if (length === CONTINUED_LENGTH) {
      this.chainedBytes += length;
      return;
    }
    const bytes = this.chainedBytes + length;
    this.chainedBytes = 0;
    this.state = 'busy';
    if (packet) {
      this.events.onPacket(packet);
    } else {
      this.events.onDiscarded(bytes);
    }
  }

  private take(count: number): Buffer {
    const taken = this.rest.subarray(0, count);
    this.rest = this.rest.subarray(count);
    return taken;
  }
}
