import {composeVersion, counterOf, eraOf, fail, ok} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import {TransactionalStore} from '@pistachiorill/store';
import type {
  RowTransaction,
  StoreReadError,
  StoreWriteError,
  TableReadResult,
  TableRow,
  TransactionResult,
} from '@pistachiorill/store';

/**
 * How a fake store handles requests. `reads-only` rejects transactions;
 * `history-lost` has no changes to report; `loses-answers` applies transactions
 * but reports an unknown outcome.
 */
export type StoreFaultMode =
  'answers' | 'down' | 'reads-only' | 'history-lost' | 'loses-answers';

/**
 * What a fake store does with a transaction that it does not answer: it applies
 * the transaction at once, some time later if its conditions still hold, or not
 * at all.
 */
export type UnansweredEffect = 'at-once' | 'later' | 'never';

/** How long after its arrival an unanswered transaction is applied. */
const LATE_MS = 300;

/** An in-memory store whose clock is 1,000 s ahead of the caller's. */
export class FakeStore extends TransactionalStore {
  readonly rows = new Map<string, TableRow>();
  version = 1;
  /** The number of `readAll` requests that were answered. */
  reads = 0;
  /** The number of `changes` requests that returned changes. */
  changesDelivered = 0;
  mode: StoreFaultMode = 'answers';
  /** The longest time for which a request for changes is held. */
  maxHoldMs = 50;
  /** Answers of the next calls of `readAll`, which may be older than the rows. */
  readonly staleReads: TableReadResult[] = [];
  /**
   * Returns the effect of a transaction that is not to be answered; undefined
   * for one that is.
   */
  unanswered: (transaction: RowTransaction) => UnansweredEffect | undefined =
    () => undefined;
  private historyState: 'kept' | 'lost' = 'kept';
  private readonly history: Array<{key: string; version: number}> = [];
  private pendingPolls: Array<() => void> = [];

  constructor(private readonly clock: () => number) {
    super();
  }

  /** Writes a row and completes pending `changes` requests. */
  put(key: string, value: object): void {
    this.version++;
    const row = {key, value: JSON.stringify(value), version: this.version};
    this.rows.set(key, row);
    this.history.push({key, version: this.version});
    for (const wake of this.pendingPolls.splice(0)) wake();
  }

  /** Makes the next request for changes report that the history is lost. */
  loseHistory(): void {
    this.historyState = 'lost';
    for (const wake of this.pendingPolls.splice(0)) wake();
  }

  /**
   * Goes back to rows of an earlier state. They get versions of a new era with
   * the same counters.
   */
  restore(rows: readonly TableRow[]): void {
    const era = eraOf(this.version) + 1;
    const counters = rows.map(row => counterOf(row.version));
    this.version = composeVersion(era, Math.max(0, ...counters));
    this.rows.clear();
    this.history.length = 0;
    for (const [i, row] of rows.entries()) {
      const version = composeVersion(era, counters[i] ?? 0);
      this.rows.set(row.key, {...row, version});
    }
    for (const wake of this.pendingPolls.splice(0)) wake();
  }

  /** Returns all rows as `readAll` does, for use as a stale read later. */
  copy(): TableReadResult {
    return this.answer([...this.rows.values()], []);
  }

  override async readAll(): Promise<Result<TableReadResult, StoreReadError>> {
    if (this.mode === 'down') return fail({kind: 'unavailable', detail: ''});
    this.reads++;
    const stale = this.staleReads.shift();
    return ok(stale ? {...stale, ...this.timing()} : this.copy());
  }

  override async changes(
    after: number,
    waitMs: number,
  ): Promise<Result<TableReadResult, StoreReadError>> {
    if (this.mode === 'down') return fail({kind: 'unavailable', detail: ''});
    if (this.version <= after) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, Math.min(waitMs, this.maxHoldMs));
        this.pendingPolls.push(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    if (eraOf(after) !== eraOf(this.version)) {
      return fail({kind: 'history-lost'});
    }
    if (this.mode === 'history-lost') return fail({kind: 'history-lost'});
    if (this.historyState === 'lost') {
      this.historyState = 'kept';
      return fail({kind: 'history-lost'});
    }
    const keys = new Set(
      this.history.filter(item => item.version > after).map(item => item.key),
    );
    if (keys.size > 0) this.changesDelivered++;
    const rows = [...keys].flatMap(key => this.rows.get(key) ?? []);
    const removed = [...keys].filter(key => !this.rows.has(key));
    return ok(this.answer(rows, removed));
  }

  override async transact(
    transaction: RowTransaction,
  ): Promise<Result<TransactionResult, StoreWriteError>> {
    if (this.mode === 'down' || this.mode === 'reads-only') {
      return fail({kind: 'unavailable', detail: ''});
    }
    const effect = this.unanswered(transaction);
    if (effect === 'later') setTimeout(() => this.apply(transaction), LATE_MS);
    const isApplied = !effect || effect === 'at-once';
    const outcome = isApplied ? this.apply(transaction) : undefined;
    if (effect || (outcome === 'applied' && this.mode === 'loses-answers')) {
      return fail({kind: 'unknown-outcome', detail: 'lost'});
    }
    if (outcome === 'conflict') return fail({kind: 'conflict'});
    return ok({version: this.version, ...this.timing()});
  }

  /** Applies a transaction if its conditions hold. */
  private apply({
    expected,
    puts,
    removals = [],
  }: RowTransaction): 'applied' | 'conflict' {
    for (const [key, version] of expected) {
      const current = this.rows.get(key)?.version ?? 0;
      if (current !== version) return 'conflict';
    }
    for (const key of removals) {
      this.rows.delete(key);
      this.history.push({key, version: ++this.version});
    }
    for (const [key, value] of puts) this.put(key, JSON.parse(value));
    for (const wake of this.pendingPolls.splice(0)) wake();
    return 'applied';
  }

  private answer(
    rows: readonly TableRow[],
    removed: readonly string[],
  ): TableReadResult {
    return {rows, removed, version: this.version, ...this.timing()};
  }

  private timing() {
    const now = this.clock();
    return {storeMs: now + 1_000_000, sentAt: now, receivedAt: now};
  }
}
