import type {PrimaryRight} from '@pistachiorill/core';
import type {LeaseRefusal} from './lease.js';
import type {PoolRefusal} from './member_pool.js';

/** How soon a refused caller may come back. */
const RETRY_SOON_MS = 50;
const RETRY_MOVING_MS = 400;

export function leaseRefusal(
  kind: LeaseRefusal['kind'],
  detail: string,
): LeaseRefusal {
  const retryAfterMs =
    kind === 'primary-moving' ? RETRY_MOVING_MS : RETRY_SOON_MS;
  return {kind, detail, retryAfterMs};
}

/** The refusal of a statement for which there is no right to a primary. */
export function refusalOf(
  reason: Extract<PrimaryRight, {kind: 'denied'}>['reason'],
): LeaseRefusal {
  switch (reason) {
    case 'moving':
      return leaseRefusal('primary-moving', 'the group gets another primary');
    case 'no-record':
      return leaseRefusal('no-primary', 'no primary is recorded');
    case 'proof-expired':
    case 'not-joined':
      return leaseRefusal('view-expired', reason);
  }
}

/** The refusal of a statement that waited in a pool's queue. */
export function poolRefusal(
  reason: Exclude<PoolRefusal, 'member-left'>,
): LeaseRefusal {
  switch (reason) {
    case 'queue-full':
      return leaseRefusal(
        'overloaded',
        'too many statements of the workspace wait',
      );
    case 'wait-ended':
      return leaseRefusal('overloaded', 'no connection became free in time');
  }
}
