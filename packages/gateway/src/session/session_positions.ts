import {laterPosition} from '@pistachiorill/core';
import type {LogPosition} from '@pistachiorill/core';

/**
 * The number of groups whose positions a session remembers. A session uses
 * several only if its route moves between groups.
 */
const MAX_GROUPS = 16;

/** What a read of a session must see in one group. */
export type SessionPosition =
  /** The session has committed nothing there. */
  | {readonly kind: 'none'}
  | {readonly kind: 'at-least'; readonly position: LogPosition}
  /** The session has committed, up to a position that is not known. */
  | {readonly kind: 'unknown'};

const NO_COMMIT: SessionPosition = {kind: 'none'};
const UNKNOWN: SessionPosition = {kind: 'unknown'};

/**
 * The log positions of a session's last commits, by group: the position in the
 * log of one group says nothing about the log of another one.
 */
export class SessionPositions {
  /** In the order of the last commits. */
  private readonly byGroup = new Map<string, SessionPosition>();
  private isComplete = true;

  /**
   * Records an acknowledged commit. `position` is undefined if the member
   * reported none.
   */
  committed(group: string, position: LogPosition | undefined): void {
    const known = this.byGroup.get(group) ?? NO_COMMIT;
    this.byGroup.delete(group);
    this.byGroup.set(group, afterCommit(known, position));
    if (this.byGroup.size <= MAX_GROUPS) return;
    const [oldest] = this.byGroup.keys();
    if (oldest !== undefined) this.byGroup.delete(oldest);
    this.isComplete = false;
  }

  /** Returns what a read of a group must see; `unknown` if it was dropped. */
  of(group: string): SessionPosition {
    return this.byGroup.get(group) ?? (this.isComplete ? NO_COMMIT : UNKNOWN);
  }
}

function afterCommit(
  known: SessionPosition,
  position: LogPosition | undefined,
): SessionPosition {
  if (position === undefined) return UNKNOWN;
  if (known.kind === 'unknown') return known;
  const before = known.kind === 'at-least' ? known.position : undefined;
  return {kind: 'at-least', position: laterPosition(position, before)};
}
