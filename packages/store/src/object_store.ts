import type {Result} from '@pistachiorill/core';
import type {PlatformError} from './platform_error.js';

/** The platform's object store. Objects are written once and not changed. */
export abstract class ObjectStore {
  abstract put(
    name: string,
    body: string,
  ): Promise<Result<void, PlatformError>>;

  abstract get(
    name: string,
  ): Promise<Result<string | undefined, PlatformError>>;

  /** Lists names in ascending order. */
  abstract list(
    prefix: string,
  ): Promise<Result<readonly string[], PlatformError>>;
}
