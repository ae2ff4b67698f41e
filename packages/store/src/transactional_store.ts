import type {Result} from '@pistachiorill/core';

/** A row of a table whose version comes from one counter for all tables. */
export interface TableRow {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** Changes that are made together or not at all. */
export interface RowTransaction {
  /** Versions that the rows must have; 0 stands for no row. */
  readonly expected: ReadonlyMap<string, number>;
  readonly puts: ReadonlyMap<string, string>;
  readonly removals?: readonly string[];
}

/** When the store made an answer, and when it was asked for. */
export interface StoreTiming {
  /** The store's own steady clock. */
  readonly storeMs: number;
  readonly sentAt: number;
  readonly receivedAt: number;
}

/** What a table holds, or what changed in it. */
export interface TableAnswer extends StoreTiming {
  readonly rows: readonly TableRow[];
  /** Keys of rows that were removed. */
  readonly removed: readonly string[];
  /** The newest version of the store. */
  readonly version: number;
}

export interface TransactionAnswer extends StoreTiming {
  readonly version: number;
}

/** Why a read has no answer. */
export type StoreReadError =
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** The changes since the version are no longer kept. */
  | {readonly kind: 'history-lost'};

export type StoreWriteError =
  /** A row had another version. */
  | {readonly kind: 'conflict'}
  /** Nothing was done. */
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** The change may have been made, or may still be made. */
  | {readonly kind: 'unknown-outcome'; readonly detail: string};

/** One table of a store with transactions and a feed of changes. */
export abstract class TransactionalStore {
  abstract readAll(): Promise<Result<TableAnswer, StoreReadError>>;
  /** Waits up to `waitMs` for changes after a version. */
  abstract changes(
    afterVersion: number,
    waitMs: number,
  ): Promise<Result<TableAnswer, StoreReadError>>;
  abstract transact(
    transaction: RowTransaction,
  ): Promise<Result<TransactionAnswer, StoreWriteError>>;
}
