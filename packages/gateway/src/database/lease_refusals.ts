import type {PrimaryRight} from '@pistachiorill/core';
import type {LeaseRefusal} from './lease.js';
import type {PoolRefusal} from './member_pool.js';

/** How soon a caller may retry a refused statement. */
const DEFAULT_RETRY_AFTER_MS = 50;
/** The same while a primary change is in progress. */
const PRIMARY_CHANGE_RETRY_AFTER_MS = 400;

/** Creates a refusal with the retry delay of its kind. */
export function leaseRefusal(
  kind: LeaseRefusal['kind'],
  detail: string,
): LeaseRefusal {
  const retryAfterMs =
    kind === 'primary-changing'
      ? PRIMARY_CHANGE_RETRY_AFTER_MS
      : DEFAULT_RETRY_AFTER_MS;
  return {kind, detail, retryAfterMs};
}

/** Returns the refusal of a statement that requires a denied primary lease. */
export function refusalOf(
  reason: Extract<PrimaryRight, {kind: 'denied'}>['reason'],
): LeaseRefusal {
  switch (reason) {
    case 'moving':
      return leaseRefusal('primary-changing', 'the group gets another primary');
    case 'no-record':
      return leaseRefusal('no-primary', 'no primary is recorded');
    case 'proof-expired':
    case 'not-joined':
      return leaseRefusal('no-primary-lease', reason);
  }
}

/** Returns the refusal of a statement that a pool's queue rejected. */
export function poolRefusal(
  reason: Exclude<PoolRefusal, 'pool-drained'>,
): LeaseRefusal {
  switch (reason) {
    case 'queue-full':
      return leaseRefusal(
        'overloaded',
        'too many statements of the workspace wait',
      );
    case 'wait-timed-out':
      return leaseRefusal('overloaded', 'no connection became free in time');
  }
}
