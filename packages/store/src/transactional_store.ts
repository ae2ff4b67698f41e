import type {Result} from '@pistachiorill/core';

/** A row of a table. One counter for all tables assigns the versions. */
export interface TableRow {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** Changes that are applied atomically. */
export interface RowTransaction {
  /** The version that each row must have, by key; 0 requires that it is absent. */
  readonly expected: ReadonlyMap<string, number>;
  /** Values to write, by key. */
  readonly puts: ReadonlyMap<string, string>;
  /** Keys of rows to remove. */
  readonly removals?: readonly string[];
}

/** The times of a request and its response, by the clocks of both sides. */
export interface StoreTiming {
  /** The store's monotonic clock when it produced the response. */
  readonly storeMs: number;
  /** The client's clock when it sent the request. */
  readonly sentAt: number;
  /** The client's clock when the response arrived. */
  readonly receivedAt: number;
}

/** The rows of a table, or the rows that changed after a version. */
export interface TableReadResult extends StoreTiming {
  readonly rows: readonly TableRow[];
  /** Keys of removed rows. */
  readonly removed: readonly string[];
  /** The rows are complete as of this version of the store. */
  readonly version: number;
}

/** The result of a committed transaction. */
export interface TransactionResult extends StoreTiming {
  /** The version that the transaction created. */
  readonly version: number;
}

/** Why a read returned no rows. */
export type StoreReadError =
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** The store no longer keeps the changes since the requested version. */
  | {readonly kind: 'history-lost'};

/** Why a transaction failed or has an unknown outcome. */
export type StoreWriteError =
  /** A row did not have the expected version. */
  | {readonly kind: 'conflict'}
  /** The transaction was not executed. */
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** The transaction may have been committed, or may still be. */
  | {readonly kind: 'unknown-outcome'; readonly detail: string};

/** One table of a store that has transactions and a change feed. */
export abstract class TransactionalStore {
  abstract readAll(): Promise<Result<TableReadResult, StoreReadError>>;
  /** Waits up to `waitMs` for changes newer than `afterVersion`. */
  abstract changes(
    afterVersion: number,
    waitMs: number,
  ): Promise<Result<TableReadResult, StoreReadError>>;
  abstract transact(
    transaction: RowTransaction,
  ): Promise<Result<TransactionResult, StoreWriteError>>;
}
