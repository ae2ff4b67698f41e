import {ENVIRONMENTS} from '@pistachiorill/core';
import {checkDocument, formatDocumentError} from '@pistachiorill/document';
import type {DocumentSections} from '@pistachiorill/document';
import type {Output} from './output.js';
import {readText} from './read_text.js';

/** The contents of a document file without errors. */
export interface LoadedDocument {
  readonly body: string;
  readonly sections: DocumentSections;
}

/**
 * Reads a file and checks it for both environments, because the same body is
 * promoted to both. Prints errors and warnings; returns undefined if there are
 * errors.
 */
export function loadDocument(
  path: string,
  out: Output,
): LoadedDocument | undefined {
  const body = readText(path, out);
  if (body === undefined) return undefined;
  const {sections, errors, warnings} = checkDocument(body, ENVIRONMENTS);
  for (const err of errors) out.warn(`${path}: ${formatDocumentError(err)}`);
  for (const warning of warnings) {
    out.warn(`${path}: warning: ${formatDocumentError(warning)}`);
  }
  return errors.length > 0 ? undefined : {body, sections};
}
