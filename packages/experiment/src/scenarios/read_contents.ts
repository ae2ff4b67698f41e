import {createConnection} from 'mysql2/promise';
import {databaseNames} from '@pistachiorill/launcher';
import type {Fleet} from '@pistachiorill/launcher';
import type {Contents} from '../history/history_event.js';
import {findPrimary, reachableMembers} from './find_primary.js';

const APPLY_TIMEOUT_MS = 8_000;
const APPLY_POLL_MS = 50;
const TABLES: ReadonlyArray<readonly [string, string]> = [
  ['load_write', 'write_id'],
  ['load_note', 'note_id'],
];

/** The contents of all databases, and notes on members that did not respond. */
export interface FinalContents {
  readonly contents: Contents;
  readonly notes: readonly string[];
}

/**
 * Reads the contents of all databases. The VMs must have stopped, since they
 * occupy the members' connections. Without a primary, the replica with the
 * longest log is read: each acknowledged write was stored by a majority.
 */
export async function readContents(fleet: Fleet): Promise<FinalContents> {
  const contents = new Map<string, number>();
  const notes: string[] = [];
  for (const database of databaseNames(fleet.profile)) {
    const primary = await findPrimary(fleet, database);
    const member = primary ?? (await waitForLongestLog(fleet, database));
    if (!member) {
      notes.push(`no member of ${database} responds`);
      continue;
    }
    if (!primary) notes.push(`${database} has no primary; read ${member.name}`);
    await addRows(fleet.addresses.get(member.name) ?? '', contents);
  }
  return {contents, notes};
}

/** Returns the replica with the longest log, after it has applied that log. */
async function waitForLongestLog(fleet: Fleet, database: string) {
  const until = Date.now() + APPLY_TIMEOUT_MS;
  for (;;) {
    const [best] = await reachableMembers(fleet, database);
    const {received, applied} = best?.state ?? {};
    const complete = received?.position === applied?.position;
    if (!best || complete || Date.now() > until) return best;
    await new Promise(resolve => setTimeout(resolve, APPLY_POLL_MS));
  }
}

async function addRows(
  address: string,
  contents: Map<string, number>,
): Promise<void> {
  const [host, port] = address.split(':');
  const connection = await createConnection({
    host: host ?? '',
    port: Number(port),
    user: 'proxy',
    password: 'proxy-password',
    rowsAsArray: true,
  });
  try {
    for (const [table, column] of TABLES) {
      const [rows] = await connection.query(
        `SELECT ${column}, COUNT(*) FROM ${table} GROUP BY ${column}`,
      );
      for (const [name, copies] of rows as Array<[string, number]>) {
        contents.set(name, (contents.get(name) ?? 0) + Number(copies));
      }
    }
  } finally {
    connection.destroy();
  }
}
