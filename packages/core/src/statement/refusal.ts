/** What a caller can conclude about the effect of its statement. */
export type Outcome = 'not-run' | 'outcome-unknown' | 'failed';

/** Why a statement has no result. */
export type Refusal =
  | {
      readonly kind:
        | 'bad-key'
        | 'unknown-database'
        | 'unknown-route'
        | 'malformed-options'
        | 'unsupported'
        | 'too-large'
        | 'rate-limited'
        | 'overloaded'
        | 'no-member'
        | 'draining'
        | 'unconfirmed'
        | 'deadline'
        | 'transaction-lost'
        | 'request-id-conflict'
        | 'outcome-unknown';
      readonly detail: string;
    }
  | {
      /** The backend server executed the statement and reported an error. */
      readonly kind: 'backend-error';
      readonly errno: number;
      readonly sqlState: string;
      readonly detail: string;
    };

/** The kinds of refusal. */
export type RefusalKind = Refusal['kind'];

/** Returns the outcome that a refusal reports to the caller. */
export function outcomeOf(refusal: Refusal): Outcome {
  switch (refusal.kind) {
    case 'outcome-unknown':
      return 'outcome-unknown';
    case 'backend-error':
      return 'failed';
    default:
      return 'not-run';
  }
}
