import type {AttemptFailure} from '../sessions/conclude_attempt.js';

/** Why a statement that was forwarded to an owner has no result. */
export type ForwardFailure =
  /** No byte of the call was sent, or the owner could not read it. */
  | 'not-sent'
  /** The call was sent, and no complete answer was received. */
  | 'no-answer'
  /** The owner stops and takes no new statements. */
  | 'stopping'
  /** The owner is not ready to serve callers, or lacks the group. */
  | 'not-ready'
  /** The owner has as much to do as it may take from other VMs. */
  | 'full'
  /** The owner does not hold the transaction, which was not committed. */
  | 'no-transaction'
  /** The transaction expects another statement; an earlier call may have run. */
  | 'out-of-order';

const ATTEMPT_FAILURES: Readonly<Record<ForwardFailure, AttemptFailure>> = {
  'not-sent': 'not-sent',
  'no-answer': 'no-answer',
  stopping: 'refused',
  'not-ready': 'refused',
  full: 'refused',
  'no-transaction': 'refused',
  'out-of-order': 'no-answer',
};

/**
 * Returns what a failed forward is for the statement, as if the owner were a
 * member; `concludeAttempt` decides what follows from it.
 */
export function attemptFailureOf(failure: ForwardFailure): AttemptFailure {
  return ATTEMPT_FAILURES[failure];
}
