import {compareLogPosition} from '../session/log_position.js';
import type {LogPosition} from '../session/log_position.js';

/** How many samples are remembered; at 20 a second they cover over 6 s. */
const MAX_SAMPLES = 128;
/** Samples closer than this to the last one add nothing. */
const MIN_SPACING_MS = 50;

/**
 * The end of the primary's log as an answer reported it. Every commit that was
 * acknowledged before `askedAt` is at or before `end`.
 */
export interface PositionSample {
  readonly askedAt: number;
  readonly end: LogPosition;
}

/** Samples of one primary, oldest first. */
export type PositionSamples = readonly PositionSample[];

/** Adds an answer of the primary; one of another term starts anew. */
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

/**
 * Returns the lowest log position that holds every commit acknowledged up to
 * `maxAgeMs` before `now`, or undefined when no sample is recent enough.
 */
export function requiredPosition(
  samples: PositionSamples,
  maxAgeMs: number,
  now: number,
): LogPosition | undefined {
  return samples.find(sample => sample.askedAt >= now - maxAgeMs)?.end;
}

/**
 * Combines the position that an age demands with the last commit of the
 * session. A position of a later term covers all of an earlier one.
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
