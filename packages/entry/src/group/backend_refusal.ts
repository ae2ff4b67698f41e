import type {Refusal} from '@pistachiorill/core';
import type {BackendError} from '@pistachiorill/mysql';

/** Converts an error of a backend connection into a refusal to the caller. */
export function toRefusal(err: BackendError): Refusal {
  switch (err.kind) {
    case 'not-run':
      return {kind: 'no-member', detail: err.detail};
    case 'statement-error':
      return {
        kind: 'backend-error',
        errno: err.errno,
        sqlState: err.sqlState,
        detail: err.detail,
      };
    case 'lost':
      return {kind: 'outcome-unknown', detail: err.detail};
  }
}
