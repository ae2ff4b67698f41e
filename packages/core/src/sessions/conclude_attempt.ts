/** What a statement does to the data of its session's transaction. */
export type StatementEffect =
  /** Reads only, alone or in a transaction. */
  | 'read'
  /** Changes data and takes effect at once. */
  | 'write'
  /** Changes data that only a later commit makes visible. */
  | 'write-in-transaction'
  | 'commit';

/** How one attempt on a member ended without a result. */
export type AttemptFailure =
  /** No byte of the statement was sent. */
  | 'not-sent'
  /** The member refused it before it ran. */
  | 'refused'
  /** The member does not hold the log position that was asked for. */
  | 'behind'
  /** The member is not the primary. */
  | 'not-primary'
  /** The member runs other data than expected. */
  | 'wrong-member'
  /** The member ran it and reported an error. */
  | 'failed'
  /** The member gave it up after its own time limit. */
  | 'timed-out'
  /** It was sent, and no whole answer came. */
  | 'no-answer';

export type AttemptConclusion =
  /** Nothing of the attempt is kept, so another member may run it. */
  | 'retry'
  /** Nothing of the caller's operation is kept. */
  | 'nothing-kept'
  /** The member's error, which promises nothing. */
  | 'report-error'
  /** The statement may have taken effect. */
  | 'unknown';

/** The attempts of a statement in the connection's life. */
export type AttemptScope =
  /** The first statement on its member connection. */
  | 'first'
  /** A transaction is open on the connection, so no other member can run it. */
  | 'pinned';

/**
 * Decides what a failed attempt means. Only a commit, or a write outside a
 * transaction, that was sent without a whole answer may have taken effect:
 * all else is gone when the connection closes.
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
      return concludeSilence(effect, scope);
  }
}

function concludeSilence(
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
