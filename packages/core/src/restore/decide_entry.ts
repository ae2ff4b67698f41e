import {eraOf} from './store_version.js';

/**
 * How long an entry of the copy is left out if its member had left before the
 * store went back. A member that is alive has written again by then, and the
 * entry of one that is not has expired or is about to.
 */
export const ENTRY_REWRITE_MS = 5_000;

/** The order of what a member writes about itself. */
export interface EntryOrder {
  /** When the member started, if the entry says so; counts start anew then. */
  readonly born: number | undefined;
  /** Rises with each entry of the same start. */
  readonly seq: number;
  /** The version of the entry's row. */
  readonly version: number;
}

/** The newest entry of a member that was read before. */
export interface KnownEntry extends EntryOrder {
  /** Whether the last list still had it. */
  readonly presence: 'listed' | 'gone';
}

/** When the present era of the store was first read, and at which version. */
export interface EraStart {
  readonly readAt: number;
  readonly version: number;
}

/** Whether an entry is used, replaced by the known one, or left out. */
export type EntryDecision = 'use' | 'keep-known' | 'leave-out';

/**
 * Decides whether an entry is newer than the one known before. After the store
 * went back to an earlier copy, entries of the copy have higher versions than
 * newer ones from before, until their members have written again.
 */
export function decideEntry(
  entry: EntryOrder,
  known: KnownEntry | undefined,
  era: EraStart,
  now: number,
): EntryDecision {
  if (!known || eraOf(entry.version) === eraOf(known.version)) return 'use';
  if (known.presence === 'listed') {
    return isOlder(entry, known, era) ? 'keep-known' : 'use';
  }
  const isRewriting = now < era.readAt + ENTRY_REWRITE_MS;
  const isKnown = entry.born === known.born && entry.seq === known.seq;
  const isOfCopy = isKnown || isOlder(entry, known, era);
  return isOfCopy && isRewriting ? 'leave-out' : 'use';
}

function isOlder(entry: EntryOrder, known: EntryOrder, era: EraStart): boolean {
  if (entry.born === undefined || known.born === undefined) return false;
  if (entry.born === known.born) return entry.seq < known.seq;
  // Clocks differ between the starts of a member, so what was certainly written
  // after the store went back is newer.
  return entry.born < known.born && entry.version <= era.version;
}
