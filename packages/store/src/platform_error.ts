import type {Row} from './table_service.js';

/** Why a call to the platform failed. */
export type PlatformError =
  /** The row had another version; `current` is the stored row. */
  | {readonly kind: 'conflict'; readonly current: Row | undefined}
  /** The request was not executed. */
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** The request may or may not have been executed. */
  | {readonly kind: 'unknown-outcome'; readonly detail: string};
