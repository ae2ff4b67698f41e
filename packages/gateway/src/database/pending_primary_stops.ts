import type {LogPosition} from '@pistachiorill/core';
import type {Reply} from '@pistachiorill/tasks';
import type {StopMode} from './database_message.js';
import type {MemberPool} from './member_pool.js';

/** How long running statements may finish before a switchover. */
const FINISH_STATEMENTS_MS = 600;

interface PendingStop {
  /** The primary that is being replaced. */
  readonly from: string;
  /** The time at which running statements are aborted. */
  readonly until: number;
  readonly reply: Reply<LogPosition | undefined>;
}

/** The pending requests to stop using a primary. */
export class PendingPrimaryStops {
  private stops: PendingStop[] = [];

  /** The number of pending requests. */
  get size(): number {
    return this.stops.length;
  }

  /** Adds a request; in mode `finish`, running statements get time to end. */
  add(
    from: string,
    mode: StopMode,
    reply: Reply<LogPosition | undefined>,
    now: number,
  ): void {
    const until = now + (mode === 'finish' ? FINISH_STATEMENTS_MS : 0);
    this.stops.push({from, until, reply});
  }

  /**
   * Completes the requests whose member runs nothing for this VM, or whose time
   * to finish is over: closes the connections and replies with the latest
   * observed position.
   */
  finish(
    poolOf: (member: string) => MemberPool | undefined,
    latestPosition: LogPosition | undefined,
    now: number,
  ): void {
    this.stops = this.stops.filter(({from, until, reply}) => {
      const pool = poolOf(from);
      if (pool && pool.inUse > 0 && now < until) return true;
      pool?.abandon();
      reply.answer(latestPosition);
      return false;
    });
  }
}
