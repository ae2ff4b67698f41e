import type {DocumentErrorKind, DocumentFinding} from '../document_error.js';
import type {DocumentWarningKind} from '../document_warnings.js';

/** Entries that are valid but that no statement or VM can use. */
export type UnusedKind =
  | 'server-without-database'
  | 'service-without-workspace'
  | 'route-without-caller'
  | 'no-data-centre-in-service';

/** Limits that contradict each other. */
export type LimitKind = 'slots-above-connections' | 'burst-below-shares';

/** Effects of a change that need attention. */
export type ChangeKind = 'withdrawal-delayed';

/** The kinds of finding in a review. */
export type ReviewKind =
  DocumentErrorKind | DocumentWarningKind | UnusedKind | LimitKind | ChangeKind;

/** A finding of a review. Never contains a secret value. */
export interface ReviewFinding extends DocumentFinding<ReviewKind> {
  readonly severity: 'error' | 'warning';
}
