import type {Connection, RowDataPacket} from 'mysql2/promise';

/** Returns the first column of the first row as text. */
export async function queryText(
  connection: Connection,
  sql: string,
): Promise<string | undefined> {
  const [rows] = await connection.query<RowDataPacket[]>(sql);
  const value: unknown = Object.values(rows[0] ?? {})[0];
  return value === undefined ? undefined : String(value);
}

/** Returns the session token of the connection. */
export async function sessionToken(connection: Connection): Promise<string> {
  return (await queryText(connection, 'SELECT @@pistachiorill_session')) ?? '';
}

/** Repeats the attempt until it returns a value; throws after the time limit. */
export async function retryUntilDefined<T>(
  what: string,
  timeoutMs: number,
  attempt: () => Promise<T | undefined>,
): Promise<T> {
  const end = Date.now() + timeoutMs;
  for (;;) {
    const value = await attempt().catch(() => undefined);
    if (value !== undefined) return value;
    if (Date.now() > end) throw new Error(`${what} did not happen in time`);
    await new Promise(resolve => setTimeout(resolve, 50));
  }
}
