import type {ClockTrust, Result, UsageStep} from '@pistachiorill/core';
import type {StoreWriteError} from '@pistachiorill/store';
import type {Logger} from '@pistachiorill/telemetry';
import type {UsageReportError} from '../ports/usage_reporter.js';

/** How the report of a window ended. */
export type UsageOutcome = 'sent' | 'late' | 'rejected' | 'dropped';

/** The result of a write of the lease; undefined if it is not held. */
export type LeaseWriteResult = Result<unknown, StoreWriteError> | undefined;

/** Writes the log records about usage reports. */
export class ReportLog {
  private clock: ClockTrust['kind'] = 'trusted';

  constructor(private readonly log: Logger) {}

  /** `missing` are the VMs whose counts are not known. */
  written(
    step: UsageStep,
    fence: number | undefined,
    result: LeaseWriteResult,
    missing: readonly string[],
  ): void {
    const outcome = result?.ok ? 'done' : (result?.err ?? 'not-held');
    const record = {fence, result: outcome};
    if (step.kind === 'acquire') {
      this.log.info(
        {event: 'usage.taken', ...record},
        'tried to acquire the usage lease',
      );
    } else if (step.kind === 'record') {
      this.log.info(
        {event: 'usage.recorded', window: step.window, missing, ...record},
        'tried to record the counts of a window',
      );
    } else if (!result?.ok) {
      this.log.warn(
        {event: 'usage.renewed', ...record},
        'did not extend the usage lease',
      );
    }
  }

  unsent(window: number, error: UsageReportError): void {
    this.log.warn(
      {event: 'usage.unsent', window, error},
      'a usage report was not accepted yet',
    );
  }

  answered(
    window: number,
    outcome: UsageOutcome,
    fence: number | undefined,
    error: UsageReportError | undefined,
  ): void {
    this.log.info(
      {event: 'usage.sent', window, fence, outcome, error},
      'sent a usage report',
    );
  }

  /** Logs once that the clock of a holder is not confirmed. */
  clockTrust({kind}: ClockTrust): void {
    if (kind === this.clock) return;
    this.clock = kind;
    if (kind === 'trusted') return;
    this.log.warn(
      {event: 'usage.clock-unconfirmed'},
      'too few VMs confirm the wall-clock time to record counts',
    );
  }

  corrected(byMs: number): void {
    this.log.warn(
      {event: 'usage.clock-corrected', byMs},
      'most VMs have another wall-clock time',
    );
  }

  dropped(window: number): void {
    this.log.warn(
      {event: 'usage.dropped', window},
      'gave up the usage report of a window',
    );
  }
}
