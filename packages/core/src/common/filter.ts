import type {Result} from './result.js';

/**
 * One step of a pipeline. A filter has one input type and one output type and
 * keeps no reference to its neighbours, so each filter can be tested and
 * replaced on its own.
 */
export abstract class Filter<I, O, E> {
  abstract readonly name: string;

  /** Processes one message. `now` is in milliseconds of a monotonic clock. */
  abstract run(input: I, now: number): Result<O, E> | Promise<Result<O, E>>;
}
