import {
  configurationKey,
  decodeConfigurationRow,
  documentName,
  fail,
  ok,
} from '@pistachiorill/core';
import type {Environment, Result, VersionedRow} from '@pistachiorill/core';
import {checkDocument} from '@pistachiorill/document';
import type {DocumentSections} from '@pistachiorill/document';
import type {Platform} from './platform.js';

/** The document in force in an environment. */
export interface CurrentDocument {
  /** Undefined before the first promotion. */
  readonly row: VersionedRow | undefined;
  readonly sections: DocumentSections;
}

const MAX_ATTEMPTS = 3;

/**
 * Reads the document in force and retries failed requests. The error states
 * which service failed.
 */
export async function readCurrentDocument(
  environment: Environment,
  platform: Platform,
): Promise<Result<CurrentDocument, string>> {
  let last: Result<CurrentDocument, string> = fail('not asked');
  for (let attempt = 0; attempt < MAX_ATTEMPTS && !last.ok; attempt += 1) {
    last = await readOnce(environment, platform);
  }
  return last;
}

async function readOnce(
  environment: Environment,
  {table, objects}: Platform,
): Promise<Result<CurrentDocument, string>> {
  const row = await table.read(configurationKey(environment));
  if (!row.ok) return fail(`the table service: ${row.err.kind}`);
  const current =
    row.value && decodeConfigurationRow(row.value.value, row.value.version);
  if (!current) return ok({row: undefined, sections: sectionsOf('')});
  const body = await objects.get(documentName(current.hash));
  if (!body.ok) return fail(`the object store: ${body.err.kind}`);
  return ok({row: current, sections: sectionsOf(body.value ?? '')});
}

function sectionsOf(text: string): DocumentSections {
  return checkDocument(text, []).sections;
}
