import {
  limitAfterAnswer,
  limitAfterBusy,
  limitAfterError,
} from '@pistachiorill/core';
import type {AdaptiveConcurrency} from '@pistachiorill/core';
import type {ResponseInfo} from './member_connection.js';

/** Returns the concurrency limit of a member after one of its responses. */
export function limitAfterResponse(
  state: AdaptiveConcurrency,
  {sentAt, work, outcome}: ResponseInfo,
  use: {readonly inFlight: number; readonly full: number},
  now: number,
): AdaptiveConcurrency {
  const answered = {sentAt, ...use};
  switch (outcome) {
    case 'busy':
      return limitAfterBusy(state, answered, now);
    case 'failed':
    case 'timed-out':
      return limitAfterError(state, answered, now);
    case 'done':
      // Setup commands take no slot of the member.
      return work === 'statement'
        ? limitAfterAnswer(state, answered, now)
        : state;
    default:
      return state;
  }
}
