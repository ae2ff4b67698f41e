import type {ClientLimits} from './client_limits.js';

/** The limits that clients can exceed, as logs and metrics name them. */
export type ExceededLimit =
  | 'connections'
  | 'address-connections'
  | 'logins'
  | 'login-bytes'
  | 'login-time'
  | 'packet-bytes'
  | 'packet-time'
  | 'read-time'
  | 'inbound-bytes'
  | 'outbound-bytes'
  | 'body-bytes'
  | 'bodies-bytes'
  | 'requests-ahead';

/** How many connections are open when another one arrives. */
export interface ClientConnectionCounts {
  readonly all: number;
  readonly fromAddress: number;
  /** Connections that have not logged in yet. */
  readonly logins: number;
}

export type ConnectionDecision =
  | 'accept'
  /** Accept it, and close the oldest connection that has not logged in. */
  | 'replace-oldest-login'
  | 'too-many'
  | 'too-many-from-address';

/**
 * Decides whether a new connection is accepted. Connections that do not log in
 * replace each other, so that they cannot lock out clients that do.
 */
export function decideConnection(
  counts: ClientConnectionCounts,
  limits: ClientLimits,
): ConnectionDecision {
  if (counts.all >= limits.clientConnections) return 'too-many';
  if (counts.fromAddress >= limits.addressConnections) {
    return 'too-many-from-address';
  }
  return counts.logins >= limits.loginConnections
    ? 'replace-oldest-login'
    : 'accept';
}

/** What a connection is used for when a packet arrives. */
export type ConnectionPhase = 'login' | 'commands';

export type PacketDecision =
  | 'buffer'
  /** Buffer it once its size is reserved. */
  | 'reserve'
  /** Read it to its end without keeping it, and answer with an error. */
  | 'discard'
  | 'close';

/** Decides how a packet of a known length is read. */
export function decidePacket(
  phase: ConnectionPhase,
  bytes: number,
  limits: ClientLimits,
): PacketDecision {
  if (phase === 'login') return bytes > limits.loginBytes ? 'close' : 'buffer';
  if (bytes >= limits.discardBytes) return 'close';
  if (bytes > limits.packetBytes) return 'discard';
  return bytes > limits.unreservedBytes ? 'reserve' : 'buffer';
}

/** What a connection occupies, and whether its client makes progress. */
export interface ConnectionUsage {
  readonly id: number;
  /** Reserved bytes of a packet that has not arrived completely. */
  readonly inboundBytes: number;
  /** Bytes of answers that the client has not read. */
  readonly outboundBytes: number;
  /** Since when no byte of them was received or read. */
  readonly idleSince: number;
  readonly transaction: 'none' | 'open';
  /** Statements that were answered on this connection. */
  readonly served: number;
}

/** A client without progress for this time counts as stalled. */
const STALLED_MS = 1_000;

/**
 * Chooses connections to close until at least `excessBytes` of `direction` are
 * free: stalled ones first, then those that hold the most bytes and were served
 * least. Never closes one with an open transaction that reads its answers; one
 * that still receives a packet is closed only if it is stalled.
 */
export function chooseConnectionsToClose(
  usages: readonly ConnectionUsage[],
  direction: 'inbound' | 'outbound',
  excessBytes: number,
  now: number,
): number[] {
  const bytesOf = (usage: ConnectionUsage): number =>
    direction === 'inbound' ? usage.inboundBytes : usage.outboundBytes;
  const isStalled = (usage: ConnectionUsage): boolean =>
    now - usage.idleSince >= STALLED_MS;
  const candidates = usages
    .filter(usage => bytesOf(usage) > 0)
    .filter(
      usage =>
        isStalled(usage) ||
        (direction === 'outbound' && usage.transaction === 'none'),
    )
    .sort(
      (a, b) =>
        Number(isStalled(b)) - Number(isStalled(a)) ||
        bytesOf(b) - bytesOf(a) ||
        a.served - b.served,
    );
  const chosen: number[] = [];
  let freed = 0;
  for (const usage of candidates) {
    if (freed >= excessBytes) break;
    freed += bytesOf(usage);
    chosen.push(usage.id);
  }
  return chosen;
}
