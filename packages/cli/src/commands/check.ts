import {documentHashOf} from '@pistachiorill/core';
import {EXIT_CODES} from '../support/exit_code.js';
import type {ExitCode} from '../support/exit_code.js';
import {loadDocument} from '../support/load_document.js';
import type {Output} from '../support/output.js';

/** Checks a document file and prints its hash, without the platform. */
export function runCheck(path: string, out: Output): ExitCode {
  const document = loadDocument(path, out);
  if (!document) return EXIT_CODES.invalid;
  const {sections, body} = document;
  out.print(
    `${path}: valid; ${sections.database.length} databases, ` +
      `${sections.workspace.length} workspaces, ${sections.key.length} keys`,
  );
  out.print(`hash ${documentHashOf(body)}`);
  return EXIT_CODES.done;
}
