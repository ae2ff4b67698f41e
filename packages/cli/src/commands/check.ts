import {documentHashOf, ENVIRONMENTS} from '@pistachiorill/core';
import {
  checkDocument,
  formatDocumentError,
  reviewDocument,
} from '@pistachiorill/document';
import type {DocumentSections, ReviewVerdict} from '@pistachiorill/document';
import {EXIT_CODES} from '../support/exit_code.js';
import type {ExitCode} from '../support/exit_code.js';
import type {Output} from '../support/output.js';
import {JsonReviewPrinter, TextReviewPrinter} from '../support/print_review.js';
import {readText} from '../support/read_text.js';

/** What to check and how to print the result. */
export interface CheckOptions {
  readonly path: string;
  /** The file of the version in force to compare with. */
  readonly against: string | undefined;
  readonly format: 'text' | 'json';
}

const EXIT_CODE_OF = {
  clean: EXIT_CODES.done,
  warnings: EXIT_CODES.warnings,
  errors: EXIT_CODES.invalid,
} as const satisfies Record<ReviewVerdict, ExitCode>;

/** Reviews a document file and prints its hash, without the platform. */
export function runCheck(options: CheckOptions, out: Output): ExitCode {
  const {path, against, format} = options;
  const body = readText(path, out);
  if (body === undefined) return EXIT_CODES.invalid;
  const inForce = against === undefined ? undefined : readInForce(against, out);
  if (against !== undefined && !inForce) return EXIT_CODES.invalid;
  const review = reviewDocument(body, ENVIRONMENTS, inForce);
  const hash = review.verdict === 'errors' ? undefined : documentHashOf(body);
  const printer =
    format === 'json' ? new JsonReviewPrinter() : new TextReviewPrinter();
  printer.print({path, hash, review}, out);
  return EXIT_CODE_OF[review.verdict];
}

/** Reads the version in force. Its warnings are not part of the review. */
function readInForce(path: string, out: Output): DocumentSections | undefined {
  const body = readText(path, out);
  if (body === undefined) return undefined;
  const {sections, errors} = checkDocument(body, ENVIRONMENTS);
  for (const err of errors) out.warn(`${path}: ${formatDocumentError(err)}`);
  return errors.length > 0 ? undefined : sections;
}
