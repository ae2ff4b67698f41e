import type {ClientLimit} from '@pistachiorill/core';

/** Where a client reaches a process, or a process reaches a member. */
export type EntryPoint = 'callers' | 'readiness' | 'metrics' | 'members';

/** At most one record in this time for each limit and entry point. */
const LOG_INTERVAL_MS = 10_000;
/** Addresses that are counted apart between two records. */
const MAX_ADDRESSES = 1_000;
const REPORTED_ADDRESSES = 5;

/** What a record of an exceeded limit states. */
export interface LimitRecord {
  readonly limit: ClientLimit;
  readonly entry: EntryPoint;
  /** How often it was exceeded since the last record. */
  readonly times: number;
  /** The addresses that exceeded it most often, with how often. */
  readonly addresses: ReadonlyArray<{
    readonly address: string;
    readonly times: number;
  }>;
}

/** What was counted since the last record of a limit and entry point. */
interface PendingRecord {
  readonly limit: ClientLimit;
  readonly entry: EntryPoint;
  times: number;
  readonly byAddress: Map<string, number>;
  loggedAt: number;
}

/** Collects exceeded limits into records that are not more frequent than allowed. */
export class LimitLog {
  private readonly pending = new Map<string, PendingRecord>();

  /** Counts an exceeded limit; returns the record that is due, if one is. */
  count(
    now: number,
    limit: ClientLimit,
    entry: EntryPoint,
    address: string,
  ): LimitRecord | undefined {
    const key = `${entry} ${limit}`;
    const item: PendingRecord = this.pending.get(key) ?? {
      limit,
      entry,
      times: 0,
      byAddress: new Map(),
      loggedAt: -Infinity,
    };
    this.pending.set(key, item);
    item.times++;
    const earlier = item.byAddress.get(address);
    if (earlier !== undefined || item.byAddress.size < MAX_ADDRESSES) {
      item.byAddress.set(address, (earlier ?? 0) + 1);
    }
    return take(now, item);
  }

  /** Returns the records that have become due, so that the last ones are logged. */
  takeDue(now: number): readonly LimitRecord[] {
    return [...this.pending.values()]
      .map(item => take(now, item))
      .filter(record => record !== undefined);
  }
}

function take(now: number, item: PendingRecord): LimitRecord | undefined {
  if (item.times === 0 || now - item.loggedAt < LOG_INTERVAL_MS) {
    return undefined;
  }
  const {limit, entry, times, byAddress} = item;
  const addresses = [...byAddress]
    .map(([address, count]) => ({address, times: count}))
    .sort((a, b) => b.times - a.times)
    .slice(0, REPORTED_ADDRESSES);
  item.times = 0;
  item.loggedAt = now;
  byAddress.clear();
  return {limit, entry, times, addresses};
}
