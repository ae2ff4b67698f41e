import {formatChange, formatDocumentError} from '@pistachiorill/document';
import type {DocumentReview} from '@pistachiorill/document';
import type {Output} from './output.js';

/** A review with the file that it is about. */
export interface PrintedReview {
  readonly path: string;
  /** The hash of the document, undefined if it has errors. */
  readonly hash: string | undefined;
  readonly review: DocumentReview;
}

/** Prints a review in one format. */
export abstract class ReviewPrinter {
  abstract print(printed: PrintedReview, out: Output): void;
}

/** Prints findings on standard error, and the changes and hash as results. */
export class TextReviewPrinter extends ReviewPrinter {
  print({path, hash, review}: PrintedReview, out: Output): void {
    const {sections, findings, changes} = review;
    for (const finding of findings) {
      const label = finding.severity === 'warning' ? 'warning: ' : '';
      out.warn(`${path}: ${label}${formatDocumentError(finding)}`);
    }
    if (hash === undefined) return;
    for (const change of changes) {
      const marks = change.marks.map(mark => ` !${mark}`).join('');
      out.print(`${formatChange(change)}${marks}`);
    }
    out.print(
      `${path}: valid; ${sections.database.length} databases, ` +
        `${sections.workspace.length} workspaces, ${sections.key.length} keys`,
    );
    out.print(`hash ${hash}`);
  }
}

/** Prints a review as one JSON object on standard output. */
export class JsonReviewPrinter extends ReviewPrinter {
  print({path, hash, review}: PrintedReview, out: Output): void {
    const {verdict, findings, changes} = review;
    out.print(
      JSON.stringify({document: path, verdict, hash, findings, changes}),
    );
  }
}
