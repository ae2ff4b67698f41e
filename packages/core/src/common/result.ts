/**
 * The outcome of a step that can fail: a value, or an error that the layer of
 * the step defines.
 */
export type Result<T, E> =
  | {readonly ok: true; readonly value: T}
  | {readonly ok: false; readonly err: E};

/** Wraps the value of a successful step. */
export function ok<T>(value: T): {readonly ok: true; readonly value: T} {
  return {ok: true, value};
}

/** Wraps the error of a failed step. */
export function fail<E>(err: E): {readonly ok: false; readonly err: E} {
  return {ok: false, err};
}
