import {rendezvousOrder} from '../common/rendezvous.js';
import type {FailoverReport, ReceivedReport} from './failover_report.js';
import type {ReceivedReports} from './failover_report.js';
import {REPORT_LIFETIME_MS} from './failover_limits.js';

/** Returns the reports of one kind about one term that have not expired. */
export function unexpiredReports(
  reports: ReceivedReports,
  kind: FailoverReport['kind'],
  term: number,
  now: number,
): ReceivedReport[] {
  return Object.values(reports).filter(
    ({report, receivedAt}) =>
      report.kind === kind &&
      report.term === term &&
      receivedAt + REPORT_LIFETIME_MS > now,
  );
}

/**
 * Returns the time since which VMs of at least `needed` data centres agree, or
 * undefined if fewer do. With several data centres, a partition between one of
 * them and the primary is therefore never enough for a failover.
 */
export function agreedSince(
  reports: readonly ReceivedReport[],
  needed: number,
): number | undefined {
  const earliest = new Map<string, number>();
  for (const {report, since} of reports) {
    const earlier = earliest.get(report.dataCentre) ?? since;
    earliest.set(report.dataCentre, Math.min(earlier, since));
  }
  return [...earliest.values()].sort((a, b) => a - b)[needed - 1];
}

/** Returns the rank of a VM among the VMs that report, 0 for the first. */
export function rankAmongReporters(
  vm: string,
  reports: readonly ReceivedReport[],
  key: string,
): number {
  const vms = new Set([vm, ...reports.map(({report}) => report.vm)]);
  return rendezvousOrder(key, [...vms]).indexOf(vm);
}
