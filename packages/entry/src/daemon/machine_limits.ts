import {readFileSync} from 'node:fs';
import {totalmem} from 'node:os';
import {getHeapStatistics} from 'node:v8';
import {deriveClientLimits} from '@pistachiorill/core';
import type {ClientLimits} from '@pistachiorill/core';
import type {ProcessSettings} from '@pistachiorill/document';
import type {HttpServerLimits, PeerServerLimits} from '@pistachiorill/peers';

const MIB = 1_048_576;
/** Assumed where the system does not report a number. */
const DEFAULT_DESCRIPTORS = 1_024;
/** Memory of a process outside of its heap. */
const OUTSIDE_HEAP_BYTES = 96 * MIB;

/** Derives the limits for clients from the settings and the machine. */
export function clientLimitsOf({limits}: ProcessSettings): ClientLimits {
  return deriveClientLimits({
    memoryBytes:
      limits.memory_mb === undefined
        ? machineMemoryBytes()
        : limits.memory_mb * MIB,
    descriptors: limits.descriptors ?? processDescriptors(),
    statementBytes: limits.statement_bytes,
    clientConnections: limits.client_connections,
    addressConnections: limits.address_connections,
    loginTimeoutMs: limits.login_timeout_ms,
    packetTimeoutMs: limits.packet_timeout_ms,
    readTimeoutMs: limits.read_timeout_ms,
  });
}

/** The limits of the server for other VMs. */
export function peerLimitsOf(
  limits: ClientLimits,
): Omit<PeerServerLimits, 'onExceeded'> {
  return {
    connections: limits.peerConnections,
    headerTimeoutMs: limits.loginTimeoutMs,
    // Includes the wait of a body for its memory.
    requestTimeoutMs: 3 * limits.packetTimeoutMs,
    bodyBytes: limits.peerBodyBytes,
    bodiesBytes: limits.peerBodiesBytes,
    bodyTimeoutMs: limits.packetTimeoutMs,
  };
}

/** The limits of the server for metrics and status. */
export function statusLimitsOf(limits: ClientLimits): HttpServerLimits {
  return {
    connections: limits.statusConnections,
    headerTimeoutMs: limits.loginTimeoutMs,
    requestTimeoutMs: limits.packetTimeoutMs,
  };
}

/** The memory of the machine or control group that the process can use. */
function machineMemoryBytes(): number {
  const heapBytes = getHeapStatistics().heap_size_limit;
  const constrained = process.constrainedMemory?.() ?? 0;
  return Math.min(
    totalmem(),
    heapBytes + OUTSIDE_HEAP_BYTES,
    // 0 or a huge number if there is no limit.
    constrained > 0 ? constrained : Number.POSITIVE_INFINITY,
  );
}

function processDescriptors(): number {
  try {
    const text = readFileSync('/proc/self/limits', 'utf8');
    const [, soft] = /^Max open files\s+(\d+)/m.exec(text) ?? [];
    return soft === undefined ? DEFAULT_DESCRIPTORS : Number(soft);
  } catch {
    // Not Linux.
    return DEFAULT_DESCRIPTORS;
  }
}
