/** Whether a statement changes data. */
export type StatementAccess = 'read' | 'write';

/** A statement that a session has prepared. */
export interface PreparedStatement {
  readonly access: StatementAccess;
  /** The text of the statement without its arguments. */
  readonly shape: string;
}

/**
 * Returns the name of a prepared statement on member connections. Sessions
 * choose names that collide, so all sessions share one name for the same
 * statement.
 */
export function sharedStatementName({
  access,
  shape,
}: PreparedStatement): string {
  return `${access === 'write' ? 'w' : 'r'}_${shape}`;
}
