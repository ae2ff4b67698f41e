import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/**
 * A seeded random number generator. Decisions receive it as an argument, so a
 * run can be reproduced from its seed.
 */
export class Random {
  private readonly generator;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns an integer from `min` to `max`, both inclusive. */
  integer(min: number, max: number): number {
    return uniformInt(this.generator, min, max);
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  fraction(): number {
    return this.integer(0, 0x3fffffff) / 0x40000000;
  }

  /** Returns a random item, or undefined for an empty list. */
  pick<T>(items: readonly T[]): T | undefined {
    if (items.length === 0) return undefined;
    return items[this.integer(0, items.length - 1)];
  }
}
