/**
 * A version of the store as one number. It orders by the store's era first,
 * which rises each time the store goes back to an earlier copy of its rows, and
 * by the store's counter second, whose values are given out again in each era.
 */

/**
 * Counters stay below this step. It exceeds a counter that starts at a time in
 * milliseconds, and leaves room for the eras 0 to 2,046 in a safe integer.
 */
const ERA_STEP = 2 ** 42;
/** The highest era that a version can hold; later ones count as this one. */
export const MAX_ERA = Math.floor(Number.MAX_SAFE_INTEGER / ERA_STEP) - 1;

/** Returns the version for a value of the store's counter in an era. */
export function composeVersion(era: number, counter: number): number {
  return Math.min(era, MAX_ERA) * ERA_STEP + counter;
}

/** Returns the era of a version. */
export function eraOf(version: number): number {
  return Math.floor(version / ERA_STEP);
}

/** Returns the value of the store's counter in a version. */
export function counterOf(version: number): number {
  return version % ERA_STEP;
}

/** Describes a version for logs. */
export function describeVersion(version: number): string {
  return `${counterOf(version)} of era ${eraOf(version)}`;
}
