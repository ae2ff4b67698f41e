import {
  decideConnectionAdmission,
  decideReading,
  exceededTimeout,
  pressureOf,
  relievedBytes,
  selectForShedding,
} from '@pistachiorill/core';
import type {
  ClientLimit,
  ClientWaits,
  ConnectionAdmission,
} from '@pistachiorill/core';
import type {Clock} from '@pistachiorill/tasks';
import type {TransactionState} from '../ports/member_link.js';
import type {CallerLimits} from './caller_limits.js';
import type {LimitReporter} from './limit_reporter.js';
import {RunningClock} from './running_clock.js';

/** The interval at which time limits are checked. */
export const SWEEP_INTERVAL_MS = 250;
/**
 * A connection that holds a permit and receives nothing for this time, while
 * others wait for one, is closed.
 */
const PERMIT_IDLE_MS = 1_000;
/** A caller that has left an answer unread for less than this reads. */
const READS_WITHIN_MS = 1_000;
/** What a message under a permit may use beyond the part that is in use. */
const PERMIT_BYTES = 1_048_576;

/** What one connection uses, and how its client behaves. */
export interface ConnectionUse extends ClientWaits {
  /** Received bytes that are held for the connection itself. */
  readonly ownBytes: number;
  /** All bytes that count against the budget of received bytes. */
  readonly inboundBytes: number;
  /** The part of them that is in use until its statements are answered. */
  readonly unansweredBytes: number;
  /** The part that arrives while the connection waits for the process. */
  readonly waitingBytes: number;
  /** Answers that are not sent yet. */
  readonly outboundBytes: number;
  readonly lastReceivedAt: number;
  readonly answered: number;
  readonly transaction: TransactionState;
}

/** A connection as the limiter sees it. */
export interface LimitedConnection {
  readonly address: string;
  /** What the connection uses at present. */
  use(): ConnectionUse;
  /** Asks again whether to read, after a wait for the process. */
  reconsiderReading(): void;
  /** Closes the connection, which exceeds a limit. */
  closeFor(limit: ClientLimit): void;
}

/** Bytes by direction. */
interface Totals {
  inboundBytes: number;
  outboundBytes: number;
}

/** The bytes of a connection that the totals contain. */
interface CountedUse extends Totals {
  state: 'open' | 'closing';
}

/**
 * Applies the limits to the connections of one entry point. Owns the totals of
 * the process; the decisions are those of `core/admission`.
 */
export class ConnectionLimiter {
  private readonly counted = new Map<LimitedConnection, CountedUse>();
  /** Connections that wait until the process has memory, oldest first. */
  private readonly waiting = new Set<LimitedConnection>();
  private readonly permits = new Set<LimitedConnection>();
  private readonly perAddress = new Map<string, number>();
  private readonly maxPermits: number;
  /** Connections that have not logged in, oldest first. */
  private readonly withoutLogin = new Set<LimitedConnection>();
  private openCount = 0;
  private readonly all: Totals = {inboundBytes: 0, outboundBytes: 0};
  /** Without the connections that are closing, whose part will be freed. */
  private readonly open: Totals = {inboundBytes: 0, outboundBytes: 0};
  private readonly time: RunningClock;

  constructor(
    readonly limits: CallerLimits,
    clock: Clock,
    private readonly reporter: Pick<LimitReporter, 'exceeded' | 'callersUse'>,
  ) {
    this.time = new RunningClock(clock, SWEEP_INTERVAL_MS);
    const {inboundBytes} = limits.budget;
    const reserve = inboundBytes - relievedBytes(inboundBytes);
    this.maxPermits = Math.max(1, Math.floor(reserve / PERMIT_BYTES));
  }

  /** The time for which this process ran, on which connections note times. */
  now(): number {
    return this.time.now();
  }

  /** Decides on a new connection and makes room for it. */
  admit(address: string): ConnectionAdmission {
    const admission = decideConnectionAdmission(
      {
        open: this.openCount,
        withoutLogin: this.withoutLogin.size,
        fromAddress: this.perAddress.get(address) ?? 0,
      },
      this.limits.connections,
    );
    if (admission === 'refuse-address') {
      this.report('connections-per-address', address);
    } else if (admission !== 'accept') {
      this.report('connections', address);
    }
    const [oldest] = this.withoutLogin;
    if (admission === 'replace') oldest?.closeFor('connections');
    return admission;
  }

  /** Starts to count a connection that was admitted. */
  add(connection: LimitedConnection): void {
    const {address} = connection;
    this.counted.set(connection, {
      inboundBytes: 0,
      outboundBytes: 0,
      state: 'open',
    });
    this.openCount++;
    this.withoutLogin.add(connection);
    this.perAddress.set(address, (this.perAddress.get(address) ?? 0) + 1);
  }

  /** The client of a connection has logged in. */
  loggedIn(connection: LimitedConnection): void {
    this.withoutLogin.delete(connection);
  }

  /** A whole message of a connection has arrived. */
  messageEnded(connection: LimitedConnection): void {
    this.permits.delete(connection);
  }

  /** The connection has closed; it is counted until it holds nothing. */
  closed(connection: LimitedConnection): void {
    const item = this.counted.get(connection);
    if (!item || item.state === 'closing') return;
    item.state = 'closing';
    this.openCount--;
    this.open.inboundBytes -= item.inboundBytes;
    this.open.outboundBytes -= item.outboundBytes;
    this.withoutLogin.delete(connection);
    this.stopWaiting(connection);
    const {address} = connection;
    const remaining = (this.perAddress.get(address) ?? 1) - 1;
    if (remaining > 0) this.perAddress.set(address, remaining);
    else this.perAddress.delete(address);
    this.count(connection);
  }

  /** Counts what a connection uses now, and frees memory if that is needed. */
  update(connection: LimitedConnection): void {
    this.count(connection);
    this.relieve('inboundBytes');
    this.relieve('outboundBytes');
    this.resumeWaiting();
  }

  /** Whether to read more from a connection now. */
  mayRead(connection: LimitedConnection): boolean {
    const {ownBytes} = connection.use();
    const decision = decideReading({
      ownBytes,
      maxOwnBytes: this.limits.maxInboundBytes,
      pressure: this.inboundPressure,
      permit: this.permits.has(connection) ? 'held' : 'none',
    });
    if (decision === 'wait-for-process') this.waiting.add(connection);
    else this.waiting.delete(connection);
    return decision === 'read';
  }

  /** The connection needs nothing now from the process to go on. */
  stopWaiting(connection: LimitedConnection): void {
    this.waiting.delete(connection);
    this.permits.delete(connection);
  }

  /** Counts an exceeded limit whose connection answers with an error itself. */
  report(limit: ClientLimit, address: string): void {
    this.reporter.exceeded(limit, 'callers', address);
  }

  /** Closes a connection that exceeds a limit. */
  close(connection: LimitedConnection, limit: ClientLimit): void {
    this.report(limit, connection.address);
    connection.closeFor(limit);
  }

  /** Closes the connections that exceed a time limit. */
  sweep(): void {
    const now = this.time.tick();
    for (const connection of this.openConnections()) {
      this.count(connection);
      const use = connection.use();
      const limit = exceededTimeout(now, use, this.limits.timeouts);
      if (limit) this.close(connection, limit);
      else if (this.waiting.size > 0) this.checkPermit(connection, now);
    }
    this.relieve('inboundBytes');
    this.relieve('outboundBytes');
    this.resumeWaiting();
    this.reporter.callersUse({connections: this.openCount, ...this.all});
  }

  private get mayResume(): boolean {
    if (this.inboundPressure === 'none') return true;
    // Statements of closed connections end by themselves and free their part.
    const {inboundBytes} = this.limits.budget;
    const closingBytes = this.all.inboundBytes - this.open.inboundBytes;
    const reserve = inboundBytes - relievedBytes(inboundBytes);
    return closingBytes < reserve && this.permits.size < this.maxPermits;
  }

  private get inboundPressure() {
    return pressureOf(this.all.inboundBytes, this.limits.budget.inboundBytes);
  }

  private openConnections(): readonly LimitedConnection[] {
    return [...this.counted]
      .filter(([, {state}]) => state === 'open')
      .map(([connection]) => connection);
  }

  private count(connection: LimitedConnection): void {
    const item = this.counted.get(connection);
    if (!item) return;
    const {inboundBytes, outboundBytes} = connection.use();
    addChange(this.all, item, {inboundBytes, outboundBytes});
    if (item.state === 'open') {
      addChange(this.open, item, {inboundBytes, outboundBytes});
    }
    item.inboundBytes = inboundBytes;
    item.outboundBytes = outboundBytes;
    if (item.state === 'closing' && inboundBytes + outboundBytes === 0) {
      this.counted.delete(connection);
    }
  }

  /** Closes connections if a budget is exceeded. */
  private relieve(direction: 'inboundBytes' | 'outboundBytes'): void {
    const budgetBytes = this.limits.budget[direction];
    if (pressureOf(this.open[direction], budgetBytes) !== 'exceeded') return;
    const now = this.now();
    const candidates = this.openConnections().map(connection => {
      this.count(connection);
      const use = connection.use();
      const isInbound = direction === 'inboundBytes';
      return {
        connection,
        bytes: isInbound
          ? use.inboundBytes - use.unansweredBytes - use.waitingBytes
          : use.outboundBytes,
        freedBytes: use[direction],
        answered: use.answered,
        protection: isProtected(use, now) ? 'transaction' : 'none',
      } as const;
    });
    const excess = this.open[direction] - relievedBytes(budgetBytes);
    if (this.open[direction] < budgetBytes) return;
    for (const connection of selectForShedding(candidates, excess)) {
      this.close(connection, 'process-memory');
    }
  }

  private resumeWaiting(): void {
    if (this.waiting.size === 0 || !this.mayResume) return;
    for (const connection of [...this.waiting]) {
      if (!this.mayResume) return;
      if (this.inboundPressure !== 'none') this.permits.add(connection);
      this.waiting.delete(connection);
      connection.reconsiderReading();
    }
  }

  /** Takes the permit of a connection that does not use it. */
  private checkPermit(connection: LimitedConnection, now: number): void {
    if (!this.permits.has(connection)) return;
    const use = connection.use();
    if (now - use.lastReceivedAt < PERMIT_IDLE_MS) return;
    this.permits.delete(connection);
    // Without a part of a message it waits for its answer or is idle.
    const isSending = use.messageSince !== undefined;
    if (isSending && !isProtected(use, now)) {
      this.close(connection, 'process-memory');
    }
  }
}

/** Adds the change of one connection's use to the totals. */
function addChange(totals: Totals, before: Totals, after: Totals): void {
  totals.inboundBytes += after.inboundBytes - before.inboundBytes;
  totals.outboundBytes += after.outboundBytes - before.outboundBytes;
}

function isProtected(use: ConnectionUse, now: number): boolean {
  const reads =
    use.unreadSince === undefined || now - use.unreadSince < READS_WITHIN_MS;
  return use.transaction === 'open' && reads;
}
