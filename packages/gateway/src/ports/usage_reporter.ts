import type {Result, WorkspaceCounts} from '@pistachiorill/core';

/** The statements that members began to run in one window, by workspace. */
export interface UsageReport {
  readonly window: number;
  readonly counts: WorkspaceCounts;
  /** The VM that sends the report. */
  readonly holder: string;
  /** The fencing number of the usage lease. */
  readonly fence: number;
}

/** Why a report is not confirmed. */
export type UsageReportError =
  /** The report cannot be accepted, also if it is sent again. */
  | {readonly kind: 'rejected'; readonly detail: string}
  /** The report was not accepted, but may be later. */
  | {readonly kind: 'unavailable'; readonly detail: string}
  /** The report may or may not have been accepted. */
  | {readonly kind: 'unknown-outcome'; readonly detail: string};

/** Sends usage reports to the platform. */
export abstract class UsageReporter {
  /** Sends a report; sending the same one again has no further effect. */
  abstract send(
    report: UsageReport,
    timeoutMs: number,
  ): Promise<Result<void, UsageReportError>>;
}
