import type {ClientLimit} from '@pistachiorill/core';
import type {SessionRefusal} from '../ports/caller_link.js';

/** Refused callers return between these times, not all at once. */
const MIN_RETRY_MS = 500;
const RETRY_JITTER_MS = 1_500;

const DETAILS: Partial<Record<ClientLimit, string>> = {
  connections: 'this VM has no free connection',
  'connections-per-address': 'too many connections from this address',
  'login-time': 'no login in time',
  'message-time': 'the message was not complete in time',
  'process-memory': 'this VM is short of memory',
};

/** The refusal of a connection whose client waits for no answer. */
export function limitRefusal(
  limit: ClientLimit,
  random: () => number = Math.random,
): SessionRefusal {
  const detail = DETAILS[limit] ?? `limit exceeded: ${limit}`;
  if (limit === 'login-time') return {kind: 'timed-out', detail};
  const retryAfterMs = MIN_RETRY_MS + Math.floor(random() * RETRY_JITTER_MS);
  return {kind: 'busy', detail, retryAfterMs};
}
