import {build} from 'hdr-histogram-js';
import {WRITE_KINDS} from '../load/request_kind.js';
import type {RequestRecord} from '../load/request_record.js';
import type {
  GapMeasure,
  Measures,
  SecondMeasure,
  WorkspaceMeasure,
} from './measures.js';
import type {ReadSample} from './read_sampler.js';

/** The latency up to which a request counts as answered in time. */
export const MAX_IN_TIME_LATENCY_MS = 500;

const HIGHEST_LATENCY_US = 60_000_000;

/** The measured part of a run, in milliseconds after its start. */
export interface MeasuredWindow {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Computes the measures from the records of the clients and of the VMs. */
export function computeMeasures(
  records: readonly RequestRecord[],
  samples: readonly ReadSample[],
  window: MeasuredWindow,
): Measures {
  const counted = records.filter(
    ({plannedAt}) => plannedAt >= window.fromMs && plannedAt < window.toMs,
  );
  const workspaces = namesOf(counted, record => record.workspace).map(name =>
    measureWorkspace(
      name,
      counted.filter(record => record.workspace === name),
    ),
  );
  const gaps = namesOf(counted, record => record.database).map(database =>
    measureGap(database, records, window),
  );
  const seconds = measureSeconds(counted, window);
  const [worst] = [...workspaces].sort(
    (a, b) => a.inTimeShare - b.inTimeShare || b.p99Ms - a.p99Ms,
  );
  const latencies = latenciesOf(counted);
  return {
    replicaReadShare: replicaShare(samples, window),
    gaps,
    worstGapMs: Math.max(0, ...gaps.map(gap => gap.gapMs)),
    workspaces,
    worstWorkspace: worst,
    wrongRefusalShare: share(
      total(workspaces, item => item.wronglyRefused),
      total(workspaces, item => item.withinRate),
    ),
    seconds,
    lowestSecondShare: Math.min(1, ...seconds.map(second => second.share)),
    answeredShare: share(
      counted.filter(record => record.result === 'answered').length,
      counted.length,
    ),
    requests: counted.length,
    p50Ms: latencies.p50Ms,
    p99Ms: latencies.p99Ms,
    interruptions: total(counted, record => record.interruptions),
    refusals: refusalsOf(counted),
  };
}

function measureWorkspace(
  workspace: string,
  records: readonly RequestRecord[],
): WorkspaceMeasure {
  const withinRate = records.filter(item => item.rate === 'within').length;
  // If a workspace exceeds its rate, any of its requests may be the ones that
  // are answered. Therefore only the number of answers is compared with the
  // number of requests within the rate.
  const answeredInTime = Math.min(
    withinRate,
    records.filter(
      item =>
        item.result === 'answered' &&
        item.endedAt - item.plannedAt <= MAX_IN_TIME_LATENCY_MS,
    ).length,
  );
  const refused = records.filter(item => item.result === 'refused').length;
  return {
    workspace,
    withinRate,
    answeredInTime,
    inTimeShare: share(answeredInTime, withinRate),
    wronglyRefused: Math.max(0, refused - (records.length - withinRate)),
    ...latenciesOf(records),
  };
}

function measureGap(
  database: string,
  records: readonly RequestRecord[],
  window: MeasuredWindow,
): GapMeasure {
  const times = records
    .filter(
      record =>
        record.database === database &&
        record.result === 'answered' &&
        WRITE_KINDS.has(record.kind),
    )
    .map(record => record.endedAt)
    .filter(at => at >= window.fromMs && at < window.toMs)
    .sort((a, b) => a - b);
  let gapMs = 0;
  let previous = window.fromMs;
  for (const at of [...times, window.toMs]) {
    gapMs = Math.max(gapMs, at - previous);
    previous = at;
  }
  return {database, gapMs: Math.round(gapMs)};
}

function measureSeconds(
  records: readonly RequestRecord[],
  window: MeasuredWindow,
): SecondMeasure[] {
  const first = Math.floor(window.fromMs / 1_000);
  const end = Math.floor(window.toMs / 1_000);
  return Array.from({length: end - first}, (unused, index) => {
    const second = first + index;
    const planned = records.filter(
      record => Math.floor(record.plannedAt / 1_000) === second,
    );
    const answered = planned.filter(
      record =>
        record.result === 'answered' &&
        record.endedAt - record.plannedAt <= MAX_IN_TIME_LATENCY_MS,
    ).length;
    return {
      second,
      planned: planned.length,
      answered,
      share: share(answered, planned.length),
    };
  });
}

function replicaShare(
  samples: readonly ReadSample[],
  window: MeasuredWindow,
): number | undefined {
  const counted = samples.filter(sample => sample.at >= window.fromMs);
  const replica = total(counted, sample => sample.replica);
  const all = replica + total(counted, sample => sample.primary);
  return all === 0 ? undefined : replica / all;
}

function latenciesOf(records: readonly RequestRecord[]): {
  p50Ms: number;
  p99Ms: number;
} {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
  for (const record of records) {
    if (record.result !== 'answered') continue;
    const latencyUs = Math.round((record.endedAt - record.plannedAt) * 1_000);
    histogram.recordValue(Math.min(HIGHEST_LATENCY_US, Math.max(1, latencyUs)));
  }
  return {
    p50Ms: histogram.getValueAtPercentile(50) / 1_000,
    p99Ms: histogram.getValueAtPercentile(99) / 1_000,
  };
}

function refusalsOf(records: readonly RequestRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const {result, reason} of records) {
    if (result === 'answered') continue;
    const key = `${result}: ${reason}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}

function namesOf(
  records: readonly RequestRecord[],
  name: (record: RequestRecord) => string,
): string[] {
  return [...new Set(records.map(name))].sort();
}

function total<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((sum, item) => sum + value(item), 0);
}

function share(part: number, whole: number): number {
  return whole === 0 ? 1 : part / whole;
}
