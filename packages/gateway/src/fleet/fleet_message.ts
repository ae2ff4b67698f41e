import type {Result} from '@pistachiorill/core';
import type {
  RowTransaction,
  StoreWriteError,
  TableReadResult,
  TableRow,
  TransactionResult,
} from '@pistachiorill/store';
import type {Reply} from '@pistachiorill/tasks';

/** A VM's copy of the rows, as it is sent to a peer. */
export interface RelayedRows {
  readonly rows: readonly TableRow[];
  readonly version: number;
  readonly asOfStoreMs: number;
  /** Bounds of the store's clock when the VM sent the copy. */
  readonly earliestStoreMs: number;
  readonly latestStoreMs: number;
}

/** Whether the store is asked for all rows or for the changes of a copy. */
export type ReadScope = 'all' | 'changes';

/** Messages that the fleet task handles. */
export type FleetMessage =
  | {readonly kind: 'start'}
  /** The store answered a read or a request for changes. */
  | {
      readonly kind: 'watched';
      readonly scope: ReadScope;
      readonly answer: TableReadResult;
    }
  | {
      readonly kind: 'transact';
      readonly transaction: RowTransaction;
      readonly reply: Reply<Result<TransactionResult, StoreWriteError>>;
    }
  /** The store accepted a transaction of this VM. */
  | {
      readonly kind: 'written';
      readonly transaction: RowTransaction;
      readonly answer: TransactionResult;
    }
  | {
      readonly kind: 'relayed';
      readonly relayed: RelayedRows;
      readonly sentAt: number;
      readonly receivedAt: number;
    }
  /** A peer asks for this VM's copy of the rows. */
  | {
      readonly kind: 'relay';
      readonly reply: Reply<RelayedRows | undefined>;
    }
  | {readonly kind: 'clock-skipped'; readonly skippedMs: number}
  | {readonly kind: 'leave'; readonly reply: Reply<void>};
