import type {History, ReceivedUsage} from '@pistachiorill/platform/standins';
import type {Violation} from './check_history.js';

/** The facts about a run that its history does not contain. */
export interface UsageContext {
  readonly leaseMs: number;
  /** Whether a VM was paused or cut off just before it sent a report. */
  readonly isExcused: (report: ReceivedUsage) => boolean;
}

/**
 * Finds windows that were reported with two different counts, and holders that
 * shared a fencing number, went back to a lower one or sent reports in turns.
 */
export function checkUsage(
  {usageReports}: Pick<History, 'usageReports'>,
  {leaseMs, isExcused}: UsageContext,
): readonly Violation[] {
  const counted = usageReports.filter(report => !isExcused(report));
  return [...checkCounts(usageReports), ...checkHolders(counted, leaseMs)];
}

function checkCounts(reports: readonly ReceivedUsage[]): readonly Violation[] {
  const first = new Map<number, string>();
  return reports.flatMap(report => {
    const text = JSON.stringify(report.counts);
    const known = first.get(report.window) ?? text;
    first.set(report.window, known);
    if (known === text) return [];
    const detail = `${describe(report)}: ${known}, then ${text}`;
    return [{promise: 'usage-report-differs' as const, detail}];
  });
}

function checkHolders(
  reports: readonly ReceivedUsage[],
  leaseMs: number,
): readonly Violation[] {
  const holders = new Map<number, string>();
  let highest = 0;
  return reports.flatMap((report, i) => {
    const {holder, fence, at} = report;
    const isShared = (holders.get(fence) ?? holder) !== holder;
    const isLower = fence < highest;
    const isInTurns = reports
      .slice(0, i)
      .some(
        (other, j) =>
          other.holder !== holder &&
          at - other.at < leaseMs &&
          reports.slice(0, j).some(first => first.holder === holder),
      );
    holders.set(fence, holder);
    highest = Math.max(highest, fence);
    if (!isShared && !isLower && !isInTurns) return [];
    return [{promise: 'usage-holders' as const, detail: describe(report)}];
  });
}

function describe({window, holder, fence, at}: ReceivedUsage): string {
  return `${window} by ${holder}, ${fence}, at ${Math.round(at)} ms`;
}

/** How many windows were reported, and how many within the tolerance. */
export interface UsageSummary {
  readonly reported: number;
  readonly accurate: number;
}

const TOLERANCE = 0.05;

/** Compares the reports with what members began to run. */
export function summarizeUsage(
  {usageReports, begunStatements}: History,
  windowMs: number,
): UsageSummary {
  const begun = new Map<string, number>();
  for (const {workspace, wallMs} of begunStatements) {
    const key = `${Math.floor(wallMs / windowMs)} ${workspace}`;
    begun.set(key, (begun.get(key) ?? 0) + 1);
  }
  const reports = new Map(usageReports.map(item => [item.window, item]));
  const accurate = [...reports.values()].filter(({window, counts}) => {
    const names = [...begun.keys()]
      .filter(key => key.startsWith(`${window} `))
      .map(key => key.slice(key.indexOf(' ') + 1));
    return [...names, ...Object.keys(counts)].every(name => {
      const count = begun.get(`${window} ${name}`) ?? 0;
      return Math.abs((counts[name] ?? 0) - count) <= count * TOLERANCE;
    });
  });
  return {reported: reports.size, accurate: accurate.length};
}
