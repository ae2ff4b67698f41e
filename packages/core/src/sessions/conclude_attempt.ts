/** How a statement affects data. */
export type StatementEffect =
  /** Reads only, inside or outside a transaction. */
  | 'read'
  /** Changes data outside a transaction, with immediate effect. */
  | 'write'
  /** Changes data inside a transaction, with no effect before the commit. */
  | 'write-in-transaction'
  | 'commit';

/** Why one attempt to execute a statement on a member has no result. */
export type AttemptFailure =
  /** No byte of the statement was sent. */
  | 'not-sent'
  /** The member refused it before it ran. */
  | 'refused'
  /** The member has not applied the required log position. */
  | 'behind'
  /** The member is not the primary. */
  | 'not-primary'
  /** The member holds other data than expected. */
  | 'wrong-member'
  /** The member executed the statement and reported an error. */
  | 'failed'
  /** The member cancelled the statement after its own time limit. */
  | 'timed-out'
  /** The statement was sent, and no complete answer was received. */
  | 'no-answer';

/** What a failed attempt means for the statement. */
export type AttemptConclusion =
  /** The attempt has no effect, so another member may run the statement. */
  | 'retry'
  /** The statement and its transaction have no effect. */
  | 'nothing-kept'
  /** The caller receives the member's error; the effect is left open. */
  | 'report-error'
  /** The statement may have taken effect. */
  | 'unknown';

/** Whether the statement can still run on another member. */
export type AttemptScope =
  /** The first statement on its member connection. */
  | 'first'
  /** A transaction is open on the connection, so no other member can run it. */
  | 'pinned';

/**
 * Decides what a failed attempt means for its statement. Without a complete
 * answer, only a commit or a write outside a transaction may have taken effect.
 * All other changes are rolled back when the connection closes.
 */
export function concludeAttempt(
  effect: StatementEffect,
  scope: AttemptScope,
  failure: AttemptFailure,
): AttemptConclusion {
  switch (failure) {
    case 'not-sent':
    case 'refused':
    case 'behind':
    case 'not-primary':
    case 'wrong-member':
      return scope === 'first' && effect !== 'commit'
        ? 'retry'
        : 'nothing-kept';
    case 'failed':
      return 'report-error';
    case 'timed-out':
    case 'no-answer':
      return concludeUnanswered(effect, scope);
  }
}

function concludeUnanswered(
  effect: StatementEffect,
  scope: AttemptScope,
): AttemptConclusion {
  switch (effect) {
    case 'write':
    case 'commit':
      return 'unknown';
    case 'write-in-transaction':
    case 'read':
      return scope === 'first' ? 'retry' : 'nothing-kept';
  }
}
