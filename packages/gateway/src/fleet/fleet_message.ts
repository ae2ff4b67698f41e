import type {Result} from '@pistachiorill/core';
import type {
  RowTransaction,
  StoreWriteError,
  TableReadResult,
  TransactionResult,
} from '@pistachiorill/store';
import type {Reply} from '@pistachiorill/tasks';
import type {RelayRequest, RelayedRows} from './relayed_rows.js';

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
  /** A peer asks for changes of this VM's copy of the rows. */
  | {
      readonly kind: 'relay';
      readonly request: RelayRequest;
      readonly reply: Reply<RelayedRows | undefined>;
    }
  | {readonly kind: 'clock-skipped'; readonly skippedMs: number}
  | {readonly kind: 'leave'; readonly reply: Reply<void>};
