/** Whether a statement changes data. */
export type StatementAccess = 'read' | 'write';

/** A statement that a session prepared under a name of its own. */
export interface PreparedStatement {
  readonly access: StatementAccess;
  /** The statement's text without its arguments. */
  readonly shape: string;
}

/**
 * The name of a prepared statement on member connections. Sessions choose
 * names that collide, so a connection holds each shape under one shared name.
 */
export function sharedStatementName({
  access,
  shape,
}: PreparedStatement): string {
  return `${access === 'write' ? 'w' : 'r'}_${shape}`;
}
