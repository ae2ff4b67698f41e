import type {ProcessCounts, Result, UsageStep} from '@pistachiorill/core';
import type {UsageReportError} from '../ports/usage_reporter.js';
import type {CollectedCounts} from './collect_counts.js';
import type {LeaseWriteResult} from './report_log.js';

/** Messages that the report task handles. */
export type ReportMessage =
  | {readonly kind: 'tick'}
  | {
      readonly kind: 'collected';
      readonly window: number;
      readonly own: readonly ProcessCounts[];
      readonly answers: CollectedCounts;
    }
  | {readonly kind: 'compared'; readonly answers: CollectedCounts}
  | {
      readonly kind: 'written';
      readonly step: UsageStep;
      readonly result: LeaseWriteResult;
    }
  | {
      readonly kind: 'answered';
      readonly window: number;
      readonly result: Result<void, UsageReportError>;
    }
  /** This process is about to exit; another VM takes over. */
  | {readonly kind: 'stop'};
