const HEADER_BYTES = 4;
const LENGTH_MARKER_2_BYTES = 0xfc;
const LENGTH_MARKER_3_BYTES = 0xfd;
const LENGTH_MARKER_8_BYTES = 0xfe;
const NULL_MARKER = 0xfb;
const ERROR_MARKER = 0xff;

/**
 * An error or row packet that `mysql2` can send. It is built here because the
 * library's own writers replace the SQLSTATE of errors and decode binary values
 * as text.
 */
export class RawPacket {
  readonly _name = 'RawPacket';
  readonly buffer: Buffer;

  private constructor(payload: Buffer) {
    this.buffer = Buffer.concat([Buffer.alloc(HEADER_BYTES), payload]);
  }

  /** Builds an ERR packet of the 4.1 protocol. */
  static error(errno: number, sqlState: string, message: string): RawPacket {
    const head = Buffer.alloc(3);
    head[0] = ERROR_MARKER;
    head.writeUInt16LE(errno, 1);
    return new RawPacket(
      Buffer.concat([head, Buffer.from(`#${sqlState}${message}`)]),
    );
  }

  /** Builds a row of a text result set. */
  static row(values: ReadonlyArray<Uint8Array | null>): RawPacket {
    const parts = values.flatMap(value =>
      value === null
        ? [Buffer.of(NULL_MARKER)]
        : [encodeLength(value.length), value],
    );
    return new RawPacket(Buffer.concat(parts));
  }

  /** The size in bytes, with the header. */
  length(): number {
    return this.buffer.length;
  }

  /** Fills in the header that the constructor reserves space for. */
  writeHeader(sequenceId: number): void {
    this.buffer.writeUIntLE(this.buffer.length - HEADER_BYTES, 0, 3);
    this.buffer[3] = sequenceId;
  }
}

/** Encodes a length-encoded integer of the protocol. */
function encodeLength(length: number): Buffer {
  if (length < NULL_MARKER) return Buffer.of(length);
  if (length < 0x10000) {
    const out = Buffer.of(LENGTH_MARKER_2_BYTES, 0, 0);
    out.writeUInt16LE(length, 1);
    return out;
  }
  if (length < 0x1000000) {
    const out = Buffer.of(LENGTH_MARKER_3_BYTES, 0, 0, 0);
    out.writeUIntLE(length, 1, 3);
    return out;
  }
  const out = Buffer.alloc(9);
  out[0] = LENGTH_MARKER_8_BYTES;
  out.writeBigUInt64LE(BigInt(length), 1);
  return out;
}
