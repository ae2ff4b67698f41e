import type {Result} from '@pistachiorill/core';

/** Returns the first result that succeeds, or else the failure of `a`. */
export async function firstSuccess<T, E>(
  a: Promise<Result<T, E>>,
  b: Promise<Result<T, E>>,
): Promise<Result<T, E>> {
  const first = await Promise.race([a, b]);
  if (first.ok) return first;
  const [one, two] = await Promise.all([a, b]);
  return one.ok ? one : two.ok ? two : one;
}
