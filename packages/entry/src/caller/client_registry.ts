import {
  ByteBudget,
  chooseConnectionsToClose,
  decideConnection,
} from '@pistachiorill/core';
import type {ClientLimits, ExceededLimit} from '@pistachiorill/core';
import {
  ConnectionGuard,
  LIMIT_ERRORS,
  refuseConnection,
} from '@pistachiorill/mysql';
import type {
  GuardedConnection,
  RawServerConnection,
} from '@pistachiorill/mysql';
import type {Clock} from '@pistachiorill/tasks';
import type {Metrics} from '@pistachiorill/telemetry';
import type {LimitReporter} from './limit_reporter.js';

const SWEEP_INTERVAL_MS = 200;
/** A packet waits this long for memory before stalled ones are closed for it. */
const RESERVATION_WAIT_MS = 1_000;

/** The collaborators of a `ClientRegistry`. */
export interface ClientRegistryDependencies {
  readonly limits: ClientLimits;
  readonly clock: Clock;
  readonly reporter: LimitReporter;
  readonly metrics: Metrics;
}

/** Owns the memory and the connections that all MySQL clients share. */
export class ClientRegistry extends ConnectionGuard {
  override readonly limits: ClientLimits;
  private readonly budget: ByteBudget;
  /** In the order of their arrival. */
  private readonly connections = new Map<number, GuardedConnection>();
  /** Open sockets by address, also of connections that are closing. */
  private readonly sockets = new Map<string, number>();
  private socketCount = 0;
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly deps: ClientRegistryDependencies) {
    super();
    this.limits = deps.limits;
    this.budget = new ByteBudget(deps.limits.inboundBytes);
    this.timer = setInterval(() => this.sweep(), SWEEP_INTERVAL_MS);
    this.timer.unref();
    deps.metrics.clientConnectionLimit.set(deps.limits.clientConnections);
  }

  /** Accepts a connection, or refuses it with an error and closes it. */
  admit(raw: RawServerConnection): 'accepted' | 'refused' {
    const address = raw.stream.remoteAddress ?? 'unknown';
    const fromAddress = this.sockets.get(address) ?? 0;
    const logins = [...this.connections.values()].filter(
      connection => connection.phase === 'login',
    );
    const decision = decideConnection(
      {all: this.socketCount, fromAddress, logins: logins.length},
      this.limits,
    );
    if (decision === 'too-many' || decision === 'too-many-from-address') {
      const limit =
        decision === 'too-many' ? 'connections' : 'address-connections';
      this.onExceeded(limit, address);
      refuseConnection(raw, LIMIT_ERRORS[limit]);
      return 'refused';
    }
    if (decision === 'replace-oldest-login') logins[0]?.shed('logins');
    this.trackSocket(raw, address);
    return 'accepted';
  }

  /** Adds an accepted connection. */
  add(id: number, connection: GuardedConnection): void {
    this.connections.set(id, connection);
  }

  /** Removes a closed connection. */
  remove(id: number): void {
    this.connections.delete(id);
  }

  override now(): number {
    return this.deps.clock();
  }

  override reserve(id: number, bytes: number): 'granted' | 'waiting' {
    return this.budget.reserve(id, bytes, this.now());
  }

  override release(id: number): void {
    const granted = this.budget.release(id);
    // Deferred, as granting a packet may end in another release.
    if (granted.length === 0) return;
    setImmediate(() => {
      for (const next of granted) this.connections.get(next)?.granted();
    });
  }

  override onUnread(): void {
    const usages = [...this.connections.values()].map(item => item.usage);
    const used = usages.reduce((sum, usage) => sum + usage.outboundBytes, 0);
    const excess = used - this.limits.outboundBytes;
    if (excess <= 0) return;
    const chosen = chooseConnectionsToClose(
      usages,
      'outbound',
      excess,
      this.now(),
    );
    this.shed(chosen, 'outbound-bytes');
  }

  override onExceeded(limit: ExceededLimit, address: string): void {
    this.deps.reporter.report('mysql', limit, address);
  }

  /** Closes stalled packets that others have waited for too long. */
  private sweep(): void {
    const now = this.now();
    const waiting = this.budget.waitingBytes(now - RESERVATION_WAIT_MS);
    if (waiting === 0) return;
    const usages = [...this.connections.values()].map(item => item.usage);
    this.shed(
      chooseConnectionsToClose(usages, 'inbound', waiting, now),
      'inbound-bytes',
    );
  }

  private shed(ids: readonly number[], limit: ExceededLimit): void {
    for (const id of ids) this.connections.get(id)?.shed(limit);
  }

  private trackSocket(raw: RawServerConnection, address: string): void {
    this.sockets.set(address, (this.sockets.get(address) ?? 0) + 1);
    this.socketCount += 1;
    this.deps.metrics.clientConnections.set(this.socketCount);
    raw.stream.once('close', () => {
      const left = (this.sockets.get(address) ?? 0) - 1;
      if (left > 0) this.sockets.set(address, left);
      else this.sockets.delete(address);
      this.socketCount -= 1;
      this.deps.metrics.clientConnections.set(this.socketCount);
    });
  }
}
