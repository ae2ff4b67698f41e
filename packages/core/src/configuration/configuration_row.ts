import {createHash} from 'node:crypto';
import type {Environment} from './environment.js';

/**
 * The number of earlier operation ids in a row. They let an operation find out
 * whether a write with a lost answer took effect.
 */
const MAX_RECENT_OPERATIONS = 8;

/** The value of the row that holds the version in force. */
export interface ConfigurationRow {
  /** The hash of the document. */
  readonly hash: string;
  /** The version that this one replaced. */
  readonly basedOn: number;
  /** The operation that wrote the row. */
  readonly operationId: string;
  /** Who promoted the document; shown to an operator whose promotion conflicts. */
  readonly actor: string;
  /** Operation ids of the previous versions, the latest first. */
  readonly recent: readonly string[];
}

/** A row and its version in the table service. */
export interface VersionedRow extends ConfigurationRow {
  readonly version: number;
}

/** Returns the key of the row that holds the version of an environment. */
export function configurationKey(environment: Environment): string {
  return `configuration/${environment}`;
}

/** Returns the object name of a document body. */
export function documentName(hash: string): string {
  return `document/${hash}`;
}

/**
 * Returns the name of the object that records that an environment has accepted
 * a document.
 */
export function acceptanceName(environment: Environment, hash: string): string {
  return `accepted/${environment}/${hash}`;
}

/** Returns the SHA-256 hash of a document body, in hexadecimal. */
export function documentHashOf(body: string): string {
  return createHash('sha256').update(body).digest('hex');
}

/**
 * Decodes the value of a row. Returns undefined for a value in another format,
 * such as one that another program wrote.
 */
export function decodeConfigurationRow(
  value: string,
  version: number,
): VersionedRow | undefined {
  let row: Partial<ConfigurationRow> | null;
  try {
    row = JSON.parse(value) as Partial<ConfigurationRow> | null;
  } catch {
    return undefined;
  }
  if (typeof row?.hash !== 'string') return undefined;
  return {
    version,
    hash: row.hash,
    basedOn: Number(row.basedOn ?? 0),
    operationId: String(row.operationId ?? ''),
    actor: String(row.actor ?? 'unknown'),
    recent: Array.isArray(row.recent) ? row.recent.map(String) : [],
  };
}

/** Returns the row value that replaces the current row in a promotion. */
export function nextConfigurationRow(
  current: VersionedRow | undefined,
  next: Pick<ConfigurationRow, 'hash' | 'operationId' | 'actor'>,
): ConfigurationRow {
  return {
    hash: next.hash,
    basedOn: current?.version ?? 0,
    operationId: next.operationId,
    actor: next.actor,
    recent: current
      ? [current.operationId, ...current.recent].slice(0, MAX_RECENT_OPERATIONS)
      : [],
  };
}
