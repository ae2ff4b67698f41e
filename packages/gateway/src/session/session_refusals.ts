import type {SessionRefusal} from '../ports/caller_link.js';
import {busyRefusal} from './conclude_fault.js';

/** Another VM serves the caller at once. */
export const VM_STOPS = busyRefusal('this VM stops', 0);

/** Ends a session in which an unexpected error occurred. */
export const SESSION_FAILED = busyRefusal('the session failed', 0);

/** Answers the statement in which an unexpected error occurred. */
export const UNEXPECTED_ERROR: SessionRefusal = {
  kind: 'unknown-outcome',
  detail: 'internal error',
};

/** The stream behind such a message cannot be read. */
export const MESSAGE_TOO_LARGE: SessionRefusal = {
  kind: 'too-large',
  detail: 'message over 1 MiB',
};

/** Answers a message before the session is open. */
export const NOT_OPEN: SessionRefusal = {
  kind: 'malformed',
  detail: 'the session is not open',
};

/** Answers a first message that is longer than any login. */
export const LOGIN_TOO_LARGE: SessionRefusal = {
  kind: 'too-large',
  detail: 'the login is too long',
};
