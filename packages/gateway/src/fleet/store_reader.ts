import {fail} from '@pistachiorill/core';
import type {Result} from '@pistachiorill/core';
import {describeStaleAnswer} from '@pistachiorill/store';
import type {
  StoreReadError,
  TableCopy,
  TableReadResult,
  TransactionalStore,
} from '@pistachiorill/store';
import {sleep} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {Logger} from '@pistachiorill/telemetry';
import type {ReadScope} from './fleet_message.js';

/** First pause after a failed call; it doubles up to the maximum. */
const FIRST_RETRY_MS = 150;
const MAX_RETRY_MS = 1_000;

/** Collaborators of the reader. */
export interface StoreReaderDependencies {
  readonly store: TransactionalStore;
  readonly clock: Clock;
  readonly onStoreFailure: (call: string) => void;
  readonly log: Logger;
}

/** Reads the rows of the store and keeps track of whether it answers. */
export class StoreReader {
  /** How many calls in a row got no answer. */
  failures = 0;
  /** When the store was last asked. */
  askedAt = -Infinity;
  private retryMs = FIRST_RETRY_MS;

  constructor(private readonly deps: StoreReaderDependencies) {}

  /**
   * Reads all rows, or the changes of the copy, for which the store may hold its
   * answer. Fails if the answer is older than the copy. After a failure the
   * answer is not held, as the proof has aged meanwhile.
   */
  async read(
    scope: ReadScope,
    copy: TableCopy,
    holdMs: number,
  ): Promise<Result<TableReadResult, StoreReadError>> {
    const {store, clock} = this.deps;
    this.askedAt = clock();
    const result =
      scope === 'all'
        ? await store.readAll()
        : await store.changes(copy.version, this.failures > 0 ? 0 : holdMs);
    if (!result.ok || result.value.version >= copy.version) return result;
    const detail = describeStaleAnswer(copy, result.value);
    return fail({kind: 'unavailable', detail});
  }

  /** Records an answer. `history` tells whether the store kept its history. */
  answered(history: 'kept' | 'lost'): void {
    if (history === 'kept') this.retryMs = FIRST_RETRY_MS;
    if (this.failures === 0) return;
    this.failures = 0;
    this.deps.log.info({event: 'store.answers'}, 'store answers again');
  }

  failed(detail: string): void {
    this.deps.onStoreFailure('watch');
    if (this.failures++ > 0) return;
    this.deps.log.warn({event: 'store.fails', detail}, 'store does not answer');
  }

  async pauseBeforeRetry(): Promise<void> {
    await sleep(this.retryMs);
    this.retryMs = Math.min(MAX_RETRY_MS, this.retryMs * 2);
  }
}
