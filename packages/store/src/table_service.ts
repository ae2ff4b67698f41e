import type {Result} from '@pistachiorill/core';
import type {PlatformError} from './platform_error.js';

/** A row of the table service. Each write increments its version by one. */
export interface Row {
  readonly key: string;
  readonly value: string;
  readonly version: number;
}

/** The platform's transactional table service. */
export abstract class TableService {
  abstract read(key: string): Promise<Result<Row | undefined, PlatformError>>;

  /** Writes only if the row has version `expected`; 0 requires no row. */
  abstract write(
    key: string,
    value: string,
    expected: number,
  ): Promise<Result<Row, PlatformError>>;

  /** Lists the rows whose keys start with `prefix`. */
  abstract list(prefix: string): Promise<Result<readonly Row[], PlatformError>>;
}
