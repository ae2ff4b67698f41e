import type {LogPosition} from './log_position.js';

/**
 * The log position that a read of the session must see in one database. It is
 * `unknown` if the session token could not be verified; such a read runs on the
 * primary.
 */
export type SessionRequirement =
  | {readonly kind: 'at-least'; readonly position: LogPosition}
  | {readonly kind: 'unknown'};
