import {compareLogPosition} from '../session/log_position.js';
import type {LogPosition} from '../session/log_position.js';

/** The number of samples kept; at 20 samples a second they cover over 6 s. */
const MAX_SAMPLES = 128;
/** A sample that follows the last one more closely than this is dropped. */
const MIN_SPACING_MS = 50;

/**
 * The end of the primary's log, as reported in one of its answers. Every commit
 * that was acknowledged before the request was sent is at or before `end`.
 */
export interface PositionSample {
  /** When the request that the primary answered was sent. */
  readonly askedAt: number;
  readonly end: LogPosition;
}

/** Samples of one primary in one term, oldest first. */
export type PositionSamples = readonly PositionSample[];

/**
 * Adds a sample. A sample of a later term replaces all earlier ones, and a
 * sample of an earlier term is dropped.
 */
export function addPositionSample(
  samples: PositionSamples,
  sample: PositionSample,
): PositionSamples {
  const last = samples.at(-1);
  if (!last) return [sample];
  if (last.end.term > sample.end.term) return samples;
  if (last.end.term < sample.end.term) return [sample];
  if (sample.askedAt - last.askedAt < MIN_SPACING_MS) return samples;
  return [...samples.slice(1 - MAX_SAMPLES), sample];
}

/** Adds samples that another VM took, which may lie between known ones. */
export function mergePositionSamples(
  samples: PositionSamples,
  added: PositionSamples,
): PositionSamples {
  if (added.length === 0) return samples;
  return [...samples, ...added]
    .sort((a, b) => a.askedAt - b.askedAt)
    .reduce(addPositionSample, [] as PositionSamples);
}

/**
 * Returns the lowest sampled log position that covers every commit acknowledged
 * up to `maxAgeMs` before `now`, or undefined if no sample is recent enough.
 */
export function requiredPosition(
  samples: PositionSamples,
  maxAgeMs: number,
  now: number,
): LogPosition | undefined {
  return samples.find(sample => sample.askedAt >= now - maxAgeMs)?.end;
}

/**
 * Returns the later of two log positions, such as the position that a maximum
 * age requires and the last commit of the session. A position of a later term
 * covers every position of an earlier term.
 */
export function laterPosition(
  a: LogPosition,
  b: LogPosition | undefined,
): LogPosition;
export function laterPosition(
  a: LogPosition | undefined,
  b: LogPosition | undefined,
): LogPosition | undefined;
export function laterPosition(
  a: LogPosition | undefined,
  b: LogPosition | undefined,
): LogPosition | undefined {
  if (!a || !b) return a ?? b;
  return compareLogPosition(b, a) > 0 ? b : a;
}
