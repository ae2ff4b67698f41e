import type {StatementAccess} from '@pistachiorill/core';
import type {CallerStatement, SessionReply} from '../ports/caller_link.js';
import type {TransactionState} from '../ports/member_link.js';
import type {MemberTransaction} from './member_transaction.js';

/** The state of a session's transaction. */
export type SessionTransaction =
  | {readonly kind: 'none'}
  /** Begun by the caller; the first statement determines the member. */
  | {readonly kind: 'begun'; readonly access: StatementAccess}
  | {readonly kind: 'open'; readonly transaction: MemberTransaction}
  | {readonly kind: 'failed'};

/** The state that each reply reports to the caller. */
export function reportedState({kind}: SessionTransaction): TransactionState {
  return kind === 'begun' ? 'open' : kind;
}

/** The reply to a statement, and whether it ends the transaction. */
export interface ReplyAfterFailure {
  readonly reply: SessionReply;
  readonly transaction: 'ended' | 'failed';
}

/**
 * Decides the reply to a statement whose transaction has failed. A rollback or
 * commit ends the transaction; other statements are refused.
 */
export function replyAfterFailure({kind}: CallerStatement): ReplyAfterFailure {
  switch (kind) {
    case 'rollback':
      return {reply: {kind: 'local'}, transaction: 'ended'};
    case 'commit': {
      const detail = 'the transaction was rolled back';
      const refusal = {kind: 'aborted', detail} as const;
      return {reply: {kind: 'refused', refusal}, transaction: 'ended'};
    }
    default: {
      const detail = 'the transaction has failed';
      const refusal = {kind: 'malformed', detail} as const;
      return {reply: {kind: 'refused', refusal}, transaction: 'failed'};
    }
  }
}
