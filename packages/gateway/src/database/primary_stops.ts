import type {LogPosition} from '@pistachiorill/core';
import type {Reply} from '@pistachiorill/tasks';
import type {StopMode} from './database_message.js';
import type {MemberPool} from './member_pool.js';

/** How long statements may finish before a planned change of primary. */
const FINISH_MS = 600;

interface PendingStop {
  readonly from: string;
  readonly until: number;
  readonly reply: Reply<LogPosition | undefined>;
}

/** Requests to stop the use of a primary that are not answered yet. */
export class PrimaryStops {
  private stops: PendingStop[] = [];

  get size(): number {
    return this.stops.length;
  }

  add(
    from: string,
    mode: StopMode,
    reply: Reply<LogPosition | undefined>,
    now: number,
  ): void {
    const until = now + (mode === 'finish' ? FINISH_MS : 0);
    this.stops.push({from, until, reply});
  }

  /** Answers the requests whose member runs nothing of this VM any more. */
  finish(
    poolOf: (member: string) => MemberPool | undefined,
    lastSeen: LogPosition | undefined,
    now: number,
  ): void {
    this.stops = this.stops.filter(({from, until, reply}) => {
      const pool = poolOf(from);
      if (pool && pool.inUse > 0 && now < until) return true;
      pool?.abandon();
      reply.answer(lastSeen);
      return false;
    });
  }
}
