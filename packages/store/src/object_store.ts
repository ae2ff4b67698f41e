import type {Result} from '@pistachiorill/core';
import type {PlatformError} from './platform_error.js';

/** The platform's object store. Objects are immutable once written. */
export abstract class ObjectStore {
  abstract put(
    name: string,
    body: string,
  ): Promise<Result<void, PlatformError>>;

  /** Returns the body, or undefined if the object does not exist. */
  abstract get(
    name: string,
  ): Promise<Result<string | undefined, PlatformError>>;

  /** Lists the names that start with `prefix`, in ascending order. */
  abstract list(
    prefix: string,
  ): Promise<Result<readonly string[], PlatformError>>;
}
