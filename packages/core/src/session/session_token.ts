import {createHmac, timingSafeEqual} from 'node:crypto';
import type {Configuration} from '../configuration/configuration.js';
import {configurationIndexOf} from '../configuration/configuration_index.js';
import type {ParsedStatement} from '../statement/statement.js';
import {LOG_START} from './log_position.js';
import type {LogPosition} from './log_position.js';
import type {SessionRequirement} from './session_requirement.js';

const SIGNATURE_BYTES = 16;
const TOKEN_VERSION = 1;

/** The latest log position that a session has seen, by database. */
export type SeenPositions = ReadonlyMap<string, LogPosition>;

/**
 * Encodes the positions that a session has seen as a signed token. The signing
 * key is derived from the verifier of the caller's key, so every VM with the
 * same configuration can verify the token and no separate secret is needed.
 */
export function encodeSessionToken(
  workspace: string,
  seen: SeenPositions,
  verifier: string,
): string {
  const entries = [...seen].map(([name, at]) => [name, at.term, at.position]);
  const payload = Buffer.from(
    JSON.stringify([TOKEN_VERSION, workspace, entries]),
  );
  return Buffer.concat([sign(payload, verifier), payload]).toString(
    'base64url',
  );
}

/**
 * Decodes a token of the given workspace. Returns undefined for a token that is
 * damaged, forged, issued to another workspace or signed with a withdrawn key.
 */
export function decodeSessionToken(
  token: string,
  workspace: string,
  verifiers: readonly string[],
): SeenPositions | undefined {
  const bytes = Buffer.from(token, 'base64url');
  if (bytes.length <= SIGNATURE_BYTES) return undefined;
  const signature = bytes.subarray(0, SIGNATURE_BYTES);
  const payload = bytes.subarray(SIGNATURE_BYTES);
  const isVerified = verifiers.some(verifier =>
    timingSafeEqual(sign(payload, verifier), signature),
  );
  if (!isVerified) return undefined;
  const [version, owner, entries] = JSON.parse(payload.toString()) as [
    number,
    string,
    Array<[string, number, number]>,
  ];
  if (version !== TOKEN_VERSION || owner !== workspace) return undefined;
  return new Map(
    entries.map(([name, term, position]) => [name, {term, position}]),
  );
}

/**
 * Returns what the session token of a statement requires of a read in one
 * database.
 */
export function sessionRequirementOf(
  statement: ParsedStatement,
  database: string,
): SessionRequirement {
  const {caller, options, context} = statement;
  if (options.session === undefined) {
    return {kind: 'at-least', position: LOG_START};
  }
  if (caller.kind === 'anonymous') return {kind: 'unknown'};
  const seen = decodeSessionToken(
    options.session,
    caller.workspace,
    verifiersOf(context.activeConfiguration.configuration, caller.workspace),
  );
  if (!seen) return {kind: 'unknown'};
  return {kind: 'at-least', position: seen.get(database) ?? LOG_START};
}

/** Returns the verifiers of all keys that are granted to a workspace. */
export function verifiersOf(
  configuration: Configuration,
  workspace: string,
): string[] {
  const found = configurationIndexOf(configuration).workspaces.get(workspace);
  return (found?.keys ?? []).map(key => key.verifier);
}

function sign(payload: Buffer, verifier: string): Buffer {
  return createHmac('sha256', `pistachiorill session ${verifier}`)
    .update(payload)
    .digest()
    .subarray(0, SIGNATURE_BYTES);
}
