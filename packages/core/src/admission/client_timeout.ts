import type {ClientLimit} from './client_limit.js';

/** Since when a client keeps the process waiting, on one clock. */
export interface ClientWaits {
  /** The start of a connection that has not logged in. */
  readonly loginSince: number | undefined;
  /** The first byte of a message whose end has not arrived. */
  readonly messageSince: number | undefined;
  /** The time at which the oldest unread byte of an answer was written. */
  readonly unreadSince: number | undefined;
}

/** How long a client may keep the process waiting. */
export interface ClientTimeouts {
  readonly loginMs: number;
  readonly messageMs: number;
  readonly answerMs: number;
}

/** Returns the time limit that a client exceeds; idle sessions have none. */
export function exceededTimeout(
  now: number,
  {loginSince, messageSince, unreadSince}: ClientWaits,
  {loginMs, messageMs, answerMs}: ClientTimeouts,
): ClientLimit | undefined {
  if (isOver(now, loginSince, loginMs)) return 'login-time';
  if (isOver(now, messageSince, messageMs)) return 'message-time';
  if (isOver(now, unreadSince, answerMs)) return 'answer-time';
  return undefined;
}

function isOver(
  now: number,
  since: number | undefined,
  limitMs: number,
): boolean {
  return since !== undefined && now - since >= limitMs;
}
