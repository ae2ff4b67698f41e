import {deriveClientLimits} from '@pistachiorill/core';
import type {
  ClientLimits,
  ConnectionUsage,
  ExceededLimit,
} from '@pistachiorill/core';

const MIB = 1_048_576;

/** What a guard may do with a connection. */
export interface GuardedConnection {
  readonly usage: ConnectionUsage;
  readonly phase: 'login' | 'commands';
  /** Continues with the packet for which `reserve` had to wait. */
  granted(): void;
  /** Sends an error that states the limit and closes. */
  shed(limit: ExceededLimit): void;
}

/**
 * Applies the limits of a process to its connections: it owns the budget that
 * the connections share and receives each report of an exceeded limit.
 */
export abstract class ConnectionGuard {
  abstract readonly limits: ClientLimits;

  /** The present time, in milliseconds of a monotonic clock. */
  abstract now(): number;

  /** Reserves the bytes of a packet; see `ByteBudget`. */
  abstract reserve(id: number, bytes: number): 'granted' | 'waiting';

  /** Ends the reservation of a connection. */
  abstract release(id: number): void;

  /** A connection holds bytes that its client has not read. */
  abstract onUnread(): void;

  /** A connection was refused or closed because of a limit. */
  abstract onExceeded(limit: ExceededLimit, address: string): void;
}

/** Applies the limits of one connection, without limits for all together. */
export class SingleConnectionGuard extends ConnectionGuard {
  override readonly limits = deriveClientLimits({
    memoryBytes: 1_024 * MIB,
    descriptors: 65_536,
    statementBytes: 16 * MIB,
    loginTimeoutMs: 10_000,
    packetTimeoutMs: 30_000,
    readTimeoutMs: 30_000,
  });

  override now(): number {
    return performance.now();
  }

  override reserve(): 'granted' {
    return 'granted';
  }

  override release(): void {}

  override onUnread(): void {}

  override onExceeded(): void {}
}
