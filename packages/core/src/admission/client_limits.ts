const MIB = 1_048_576;

/** What the limits of one process for its clients are derived from. */
export interface ClientLimitOptions {
  /** Memory of the machine. */
  readonly memoryBytes: number;
  /** Descriptors that the process may open. */
  readonly descriptors: number;
  readonly statementBytes: number;
  /** Replaces the derived number of connections of clients. */
  readonly clientConnections?: number | undefined;
  /** Replaces the derived number of connections of one address. */
  readonly addressConnections?: number | undefined;
  readonly loginTimeoutMs: number;
  readonly packetTimeoutMs: number;
  readonly readTimeoutMs: number;
}

/** The limits of one process for its clients and for requests over HTTP. */
export interface ClientLimits {
  /** The largest packet that is buffered, with its command byte. */
  readonly packetBytes: number;
  /** A larger packet ends the connection instead of being discarded. */
  readonly discardBytes: number;
  readonly loginBytes: number;
  /** Packets up to this size are buffered without a reservation. */
  readonly unreservedBytes: number;
  /** Bytes of larger packets that are buffered for all connections. */
  readonly inboundBytes: number;
  /** Bytes of answers that are buffered for all connections. */
  readonly outboundBytes: number;
  /** Bytes of one result of a member, and of those that arrive at a time. */
  readonly resultBytes: number;
  readonly resultsBytes: number;
  /** Bytes of one request body of another VM, and of all together. */
  readonly peerBodyBytes: number;
  readonly peerBodiesBytes: number;
  readonly clientConnections: number;
  readonly addressConnections: number;
  readonly loginConnections: number;
  readonly peerConnections: number;
  readonly statusConnections: number;
  readonly loginTimeoutMs: number;
  readonly packetTimeoutMs: number;
  readonly readTimeoutMs: number;
}

/** A chunk read from a connection that is paused, with the socket's objects. */
const CONNECTION_BYTES = 96 * 1_024;
const LOGIN_BYTES = 64 * 1_024;
const UNRESERVED_BYTES = 16 * 1_024;
const DISCARD_BYTES = 16 * MIB;
/** A packet with one byte more is continued by another one. */
const MAX_PACKET_BYTES = 0xffffff - 1;
const MIN_PEER_BODY_BYTES = 8 * MIB;
/** A byte of a statement takes up to 6 in JSON, as in `\u0000`. */
const JSON_BYTES_PER_BYTE = 6;
const JSON_OVERHEAD_BYTES = 64 * 1_024;
const MAX_STATUS_CONNECTIONS = 64;
const MIN_CONNECTIONS = 8;

/**
 * Derives the limits. A statement needs about four times its bytes while it is
 * parsed and sent on, so packets may occupy a sixteenth of the memory and answers
 * a quarter. A quarter of the descriptors is reserved for files, members, the
 * store and calls to other VMs.
 */
export function deriveClientLimits(options: ClientLimitOptions): ClientLimits {
  const {memoryBytes, descriptors, statementBytes} = options;
  const packetBytes = Math.min(statementBytes + 1, MAX_PACKET_BYTES);
  const peerBodyBytes = Math.max(
    MIN_PEER_BODY_BYTES,
    JSON_BYTES_PER_BYTE * statementBytes + JSON_OVERHEAD_BYTES,
  );
  const clientConnections =
    options.clientConnections ??
    atLeast(
      MIN_CONNECTIONS,
      Math.min(descriptors / 2, memoryBytes / 3 / CONNECTION_BYTES),
    );
  return {
    packetBytes,
    discardBytes: DISCARD_BYTES,
    loginBytes: LOGIN_BYTES,
    unreservedBytes: UNRESERVED_BYTES,
    inboundBytes: atLeast(packetBytes, memoryBytes / 16),
    outboundBytes: atLeast(MIB, memoryBytes / 4),
    resultBytes: atLeast(MIB, memoryBytes / 16),
    resultsBytes: atLeast(MIB, memoryBytes / 8),
    peerBodyBytes,
    peerBodiesBytes: atLeast(peerBodyBytes, memoryBytes / 16),
    clientConnections,
    addressConnections:
      options.addressConnections ??
      atLeast(MIN_CONNECTIONS, clientConnections / 2),
    loginConnections: atLeast(MIN_CONNECTIONS, clientConnections / 2),
    peerConnections: atLeast(MIN_CONNECTIONS, (descriptors * 3) / 16),
    statusConnections: atLeast(
      MIN_CONNECTIONS,
      Math.min(descriptors / 16, MAX_STATUS_CONNECTIONS),
    ),
    loginTimeoutMs: options.loginTimeoutMs,
    packetTimeoutMs: options.packetTimeoutMs,
    readTimeoutMs: options.readTimeoutMs,
  };
}

function atLeast(least: number, value: number): number {
  return Math.max(least, Math.floor(value));
}
