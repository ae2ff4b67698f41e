import {composeVersion, counterOf, eraOf} from '../restore/store_version.js';
import type {
  LeadershipRecord,
  VersionedLeadership,
} from './leadership_record.js';

/**
 * How long after a new era was first seen the records of the copy wait for newer
 * ones that VMs know and write again. With a short absence of the store it stays
 * below the duration of a primary lease, so that leases bridge it.
 */
export const LEADERSHIP_REWRITE_MS = 3_000;

/** What a row tells about when its record was written. */
export interface LeadershipStamp {
  /** The era in which the row was written; 0 if it does not tell. */
  readonly era?: number | undefined;
  /** The version of the record if the row only writes it again. */
  readonly origin?: number | undefined;
}

/** Returns the record of a row, and whether it is of the present era. */
export function leadershipOfRow(
  record: LeadershipRecord,
  {era = 0, origin}: LeadershipStamp,
  version: number,
): VersionedLeadership {
  const isOfEra = era === eraOf(version);
  const written = isOfEra ? version : composeVersion(era, counterOf(version));
  return {
    record,
    version,
    origin: origin ?? written,
    standing: isOfEra ? 'confirmed' : 'copied',
  };
}

/** Returns the version at which a record was first written. */
export function originOf({origin, version}: VersionedLeadership): number {
  return origin ?? version;
}

/**
 * Returns the newest record of a group: that of the store's row, or one that this
 * VM has read in an earlier era and that the copy lacks. A row that was written
 * in the present era counts as newest, as other VMs may use its primary already.
 * The version is that of the row in all cases; 0 without a row.
 */
export function newestLeadership(
  row: VersionedLeadership | undefined,
  known: VersionedLeadership | undefined,
  version: number,
): VersionedLeadership | undefined {
  if (!known || eraOf(known.version) === eraOf(version)) return row;
  if (row && (isConfirmed(row) || originOf(row) >= originOf(known))) return row;
  return {
    record: known.record,
    version: row?.version ?? 0,
    origin: originOf(known),
    standing: 'lost',
  };
}

/**
 * Whether a record replaces the one that a VM acts on. A record of the copy does
 * not replace a newer one; a confirmed one of a newer era does, as VMs that knew
 * a newer one had the time to write it again.
 */
export function supersedesLeadership(
  next: VersionedLeadership,
  known: VersionedLeadership,
): boolean {
  const eras = eraOf(next.version) - eraOf(known.version);
  if (eras > 0 && isConfirmed(next)) return originOf(next) !== originOf(known);
  if (eras < 0 && isConfirmed(known)) return false;
  return originOf(next) > originOf(known);
}

/** Whether a record was written, or written again, in the present era. */
export function isConfirmed({standing}: VersionedLeadership): boolean {
  return standing === undefined || standing === 'confirmed';
}

/** Whether a record is to be written again in the present era now. */
export function isRewriteDue(
  leadership: VersionedLeadership,
  eraSeenForMs: number,
  rankDelayMs: number,
): boolean {
  if (isConfirmed(leadership)) return false;
  const waitMs = leadership.standing === 'lost' ? 0 : LEADERSHIP_REWRITE_MS;
  return eraSeenForMs >= waitMs + rankDelayMs;
}
