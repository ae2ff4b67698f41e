import type {PrimaryLeaseDecision} from '@pistachiorill/core';
import type {CheckoutRefusal} from './checkout.js';
import type {PoolRefusal} from './pool_request.js';

/** How soon a caller may retry a refused statement. */
const DEFAULT_RETRY_AFTER_MS = 50;
/** How soon a caller may retry while a primary change is in progress. */
const PRIMARY_CHANGE_RETRY_AFTER_MS = 400;

/** Creates a refusal with the retry delay of its kind. */
export function checkoutRefusal(
  kind: CheckoutRefusal['kind'],
  detail: string,
): CheckoutRefusal {
  const retryAfterMs =
    kind === 'primary-changing'
      ? PRIMARY_CHANGE_RETRY_AFTER_MS
      : DEFAULT_RETRY_AFTER_MS;
  return {kind, detail, retryAfterMs};
}

/** Returns the refusal of a statement that requires a denied primary lease. */
export function primaryLeaseRefusal(
  reason: Extract<PrimaryLeaseDecision, {kind: 'denied'}>['reason'],
): CheckoutRefusal {
  switch (reason) {
    case 'moving':
      return checkoutRefusal(
        'primary-changing',
        'the group gets another primary',
      );
    case 'no-record':
      return checkoutRefusal('no-primary', 'no primary is recorded');
    case 'proof-expired':
    case 'not-joined':
      return checkoutRefusal('no-primary-lease', reason);
  }
}

/** Returns the refusal of a statement that a pool's queue rejected. */
export function poolRefusal(
  reason: Exclude<PoolRefusal, 'pool-drained'>,
): CheckoutRefusal {
  switch (reason) {
    case 'queue-full':
      return checkoutRefusal(
        'overloaded',
        'too many statements of the workspace wait',
      );
    case 'displaced':
      return checkoutRefusal(
        'overloaded',
        'a more urgent statement of the workspace took its place',
      );
    case 'wait-too-long':
      return checkoutRefusal('overloaded', 'the expected wait is too long');
    case 'wait-timed-out':
      return checkoutRefusal('overloaded', 'no connection became free in time');
  }
}
