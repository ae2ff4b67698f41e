import type {Result} from '@pistachiorill/core';
import type {PlatformError} from './platform_error.js';

/** A row of the table service. Its version grows by one with each write. */
export interface Row {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** The platform's transactional table service. */
export abstract class TableService {
  abstract read(key: string): Promise<Result<Row | undefined, PlatformError>>;

  /** Writes only if the row's version is `expected`; 0 stands for no row. */
  abstract write(
    key: string,
    value: string,
    expected: number,
  ): Promise<Result<Row, PlatformError>>;

  abstract list(prefix: string): Promise<Result<readonly Row[], PlatformError>>;
}
