import type {Environment} from '@pistachiorill/core';
import {findConflicts} from './conflict_rules.js';
import type {DocumentError, DocumentFinding} from './document_error.js';
import {parseDocumentSections} from './document_sections.js';
import type {DocumentSections} from './document_sections.js';
import {findWarnings} from './document_warnings.js';
import type {DocumentWarning} from './document_warnings.js';
import {findInvalidReferences} from './reference_rules.js';

/** The result of checking a document, with errors in line order. */
export interface DocumentCheck {
  readonly sections: DocumentSections;
  readonly errors: readonly DocumentError[];
  readonly warnings: readonly DocumentWarning[];
}

/** Checks a document for the given environments and returns all errors. */
export function checkDocument(
  text: string,
  environments: readonly Environment[],
): DocumentCheck {
  const read = parseDocumentSections(text);
  const errors = [
    ...read.errors,
    ...findInvalidReferences(read),
    ...findConflicts(read, environments),
  ];
  return {
    sections: read.sections,
    errors: errors.sort(byLine),
    // Sections with errors are left out, which would cause false warnings.
    warnings: errors.length > 0 ? [] : findWarnings(read.sections).sort(byLine),
  };
}

/** Orders findings by line; those of the whole file come first. */
export function byLine(
  a: DocumentFinding<string>,
  b: DocumentFinding<string>,
): number {
  return (a.line ?? 0) - (b.line ?? 0);
}
