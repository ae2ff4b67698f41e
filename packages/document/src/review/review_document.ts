import type {Environment} from '@pistachiorill/core';
import {byLine, checkDocument} from '../check_document.js';
import {compareDocuments} from '../compare_documents.js';
import type {DocumentFinding} from '../document_error.js';
import type {DocumentSections} from '../document_sections.js';
import {findLimitConflicts} from './find_limit_conflicts.js';
import {findUnused} from './find_unused.js';
import {findDelayedWithdrawals, markChanges} from './mark_changes.js';
import type {MarkedChange} from './mark_changes.js';
import type {ReviewFinding, ReviewKind} from './review_finding.js';

/** The most severe result of a review. Changes alone are no finding. */
export type ReviewVerdict = 'clean' | 'warnings' | 'errors';

/** The result of a review, with findings in line order. */
export interface DocumentReview {
  readonly sections: DocumentSections;
  readonly verdict: ReviewVerdict;
  readonly findings: readonly ReviewFinding[];
  readonly changes: readonly MarkedChange[];
}

/**
 * Reviews a document, and what differs from the version in force if that is
 * given. A document with errors is neither searched for warnings nor compared,
 * as sections with errors are left out and would cause false results.
 */
export function reviewDocument(
  text: string,
  environments: readonly Environment[],
  inForce?: DocumentSections,
): DocumentReview {
  const {sections, errors, warnings} = checkDocument(text, environments);
  if (errors.length > 0) {
    const findings = withSeverity(errors, 'error');
    return {sections, verdict: 'errors', findings, changes: []};
  }
  const changes = inForce
    ? markChanges(compareDocuments(inForce, sections), inForce, sections)
    : [];
  const found = [
    ...warnings,
    ...findUnused(sections),
    ...findLimitConflicts(sections),
    ...findDelayedWithdrawals(changes, sections),
  ].sort(byLine);
  const verdict = found.length > 0 ? 'warnings' : 'clean';
  const findings = withSeverity(found, 'warning');
  return {sections, verdict, findings, changes};
}

function withSeverity(
  found: ReadonlyArray<DocumentFinding<ReviewKind>>,
  severity: ReviewFinding['severity'],
): ReviewFinding[] {
  return found.map(finding => ({severity, ...finding}));
}
