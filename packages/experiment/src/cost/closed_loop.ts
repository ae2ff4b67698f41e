import {performance} from 'node:perf_hooks';
import {build} from 'hdr-histogram-js';

/** Throughput and latency of a closed loop. */
export interface LoopResult {
  readonly statements: number;
  readonly statementsPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/**
 * Calls all workers concurrently; each worker is called again as soon as its
 * previous call returns, until the duration has passed.
 */
export async function runClosedLoop(
  workers: ReadonlyArray<() => Promise<unknown>>,
  durationMs: number,
): Promise<LoopResult> {
  const histogram = build({numberOfSignificantValueDigits: 3});
  const start = performance.now();
  const end = start + durationMs;
  await Promise.all(
    workers.map(async work => {
      for (let before = start; before < end;) {
        await work();
        const now = performance.now();
        histogram.recordValue(Math.max(1, Math.round((now - before) * 1_000)));
        before = now;
      }
    }),
  );
  const seconds = (performance.now() - start) / 1_000;
  return {
    statements: histogram.totalCount,
    statementsPerSecond: Math.round(histogram.totalCount / seconds),
    p50Ms: histogram.getValueAtPercentile(50) / 1_000,
    p99Ms: histogram.getValueAtPercentile(99) / 1_000,
  };
}
