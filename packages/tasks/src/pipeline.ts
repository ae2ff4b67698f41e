import {ok} from '@pistachiorill/core';
import type {Filter, Result} from '@pistachiorill/core';

/** Returns the current time of a monotonic clock, in milliseconds. */
export type Clock = () => number;

/**
 * A chain of filters. The first error ends the run. The clock is read again
 * before each filter, because an earlier filter may have waited.
 */
export class Pipeline<I, O, E> {
  private constructor(
    private readonly filters: ReadonlyArray<Filter<unknown, unknown, E>>,
    private readonly clock: Clock,
  ) {}

  /** Creates a pipeline with a single filter. */
  static of<I, O, E>(filter: Filter<I, O, E>, clock: Clock): Pipeline<I, O, E> {
    return new Pipeline<I, O, E>(
      [filter as Filter<unknown, unknown, E>],
      clock,
    );
  }

  /** Appends a filter that consumes the output of the last one. */
  then<P>(filter: Filter<O, P, E>): Pipeline<I, P, E> {
    return new Pipeline<I, P, E>(
      [...this.filters, filter as Filter<unknown, unknown, E>],
      this.clock,
    );
  }

  /** Passes one message through all filters, in order. */
  async run(input: I): Promise<Result<O, E>> {
    let value: unknown = input;
    for (const filter of this.filters) {
      const result = await filter.run(value, this.clock());
      if (!result.ok) return result;
      value = result.value;
    }
    return ok(value as O);
  }
}
