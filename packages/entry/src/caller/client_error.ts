import {outcomeOf} from '@pistachiorill/core';
import type {Outcome, Refusal, RefusalKind} from '@pistachiorill/core';
import type {ClientError} from '@pistachiorill/mysql';

const OUTCOME_TEXT: Readonly<Record<Outcome, string>> = {
  'not-run': 'not run',
  'outcome-unknown': 'outcome unknown',
  failed: 'failed',
};

/** The refusals that originate in the proxy and not in a backend server. */
type ProxyRefusalKind = Exclude<RefusalKind, 'backend-error'>;

/** The MySQL error number and SQL state of each refusal. */
const ERROR_CODES: Readonly<
  Record<ProxyRefusalKind, readonly [number, string]>
> = {
  'bad-key': [1045, '28000'],
  'unknown-database': [1049, '42000'],
  'unknown-route': [1235, '42000'],
  'malformed-options': [1235, '42000'],
  unsupported: [1235, '42000'],
  'too-large': [1153, '08S01'],
  'rate-limited': [1226, '42000'],
  overloaded: [1040, '08004'],
  'no-member': [1040, '08004'],
  draining: [1040, '08004'],
  unconfirmed: [1040, '08004'],
  deadline: [3024, 'HY000'],
  'transaction-lost': [1180, '40001'],
  'request-id-conflict': [1062, '23000'],
  'outcome-unknown': [2013, 'HY000'],
};

/**
 * Converts a refusal into an error for a MySQL client. The message starts with
 * the outcome. Errors of a backend server keep their code and SQL state.
 */
export function toClientError(refusal: Refusal): ClientError {
  const outcome = OUTCOME_TEXT[outcomeOf(refusal)];
  if (refusal.kind === 'backend-error') {
    return {
      errno: refusal.errno,
      sqlState: refusal.sqlState,
      message: `${outcome}: ${refusal.detail}`,
    };
  }
  const [errno, sqlState] = ERROR_CODES[refusal.kind];
  return {
    errno,
    sqlState,
    message: `${outcome}: ${refusal.kind}: ${refusal.detail}`,
  };
}

/** The refusal of a statement that is larger than the limit. */
export function oversizedRefusal(bytes: number, limitBytes: number): Refusal {
  return {
    kind: 'too-large',
    detail: `the statement has ${bytes} bytes, the limit is ${limitBytes}`,
  };
}
