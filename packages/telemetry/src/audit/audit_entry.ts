/** A change made by an operator or by the system. Contains no secrets. */
export interface AuditEntry {
  /** Wall-clock time in UTC, in ISO 8601 format. */
  readonly time: string;
  /** The operator or the VM that made the change. */
  readonly actor: string;
  readonly action: AuditAction;
  /** What was changed, such as `configuration/production`. */
  readonly subject: string;
  /** The state before the change, or an empty string. */
  readonly before: string;
  /** The state after the change. */
  readonly after: string;
  /** Common to all entries of one operation; may be empty. */
  readonly operationId: string;
}

/** The kinds of change that the audit trail records. */
export type AuditAction =
  | 'configuration-promoted'
  | 'configuration-changed'
  | 'configuration-applied'
  | 'drain-started'
  | 'drain-ended'
  | 'failover-step'
  | 'share-joined'
  | 'share-returned'
  | 'reclaim-started'
  | 'shares-reclaimed'
  | 'owner-changed'
  | 'entries-dropped';

/** The name prefix of all audit objects. */
export const AUDIT_PREFIX = 'audit/';

/**
 * Returns the object name of an entry. Names sort by time. They contain the
 * writer's id, so that entries of different writers never overwrite each other.
 */
export function auditName(
  entry: AuditEntry,
  writer: string,
  sequence: number,
): string {
  const number = String(sequence).padStart(8, '0');
  return `${AUDIT_PREFIX}${entry.time}-${writer}-${number}`;
}
