import {concludeAttempt} from '@pistachiorill/core';
import type {AttemptFailure, StatementEffect} from '@pistachiorill/core';
import type {JobFault} from '../database/member_connection.js';
import type {SessionRefusal} from '../ports/caller_link.js';

/**
 * Converts a failed attempt into a refusal, and decides whether the statement
 * may be retried on another member.
 */
export function concludeFault(
  effect: StatementEffect,
  scope: 'first' | 'pinned',
  fault: JobFault,
): {conclusion: 'retry' | 'final'; refusal: SessionRefusal} {
  // A write whose answer is lost may have taken effect.
  const isUnknown = fault.answer === 'too-large' && effect !== 'read';
  const failure = isUnknown ? 'no-answer' : fault.failure;
  switch (concludeAttempt(effect, scope, failure)) {
    case 'retry':
      return {conclusion: 'retry', refusal: busyRefusal(fault.detail, 50)};
    case 'nothing-kept':
      return {
        conclusion: 'final',
        refusal: {kind: 'aborted', detail: fault.detail},
      };
    case 'unknown':
      return {
        conclusion: 'final',
        refusal: {kind: 'unknown-outcome', detail: fault.detail},
      };
    case 'report-error':
      return {conclusion: 'final', refusal: toReportedRefusal(fault)};
  }
}

function toReportedRefusal(fault: JobFault): SessionRefusal {
  const kinds: Partial<Record<AttemptFailure, SessionRefusal['kind']>> = {
    'timed-out': 'timed-out',
  };
  return {
    kind: kinds[fault.failure] ?? 'failed',
    detail: fault.detail,
  };
}

/** Creates the refusal of a statement that was not run. */
export function busyRefusal(
  detail: string,
  retryAfterMs: number,
): SessionRefusal {
  return {kind: 'busy', detail, retryAfterMs};
}
