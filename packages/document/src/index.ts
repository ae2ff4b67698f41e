/** Parses and validates process settings and the operators' document (INI). */
export {checkDocument} from './check_document.js';
export type {DocumentCheck} from './check_document.js';
export {compareDocuments} from './compare_documents.js';
export type {DocumentChange} from './compare_documents.js';
export {formatDocumentError} from './document_error.js';
export type {DocumentError, DocumentErrorKind} from './document_error.js';
export type {DocumentSection, DocumentSections} from './document_sections.js';
export {formatChange} from './format_change.js';
export {parseDocument} from './parse_document.js';
export {parseProcessSettings} from './process_settings.js';
export type {ProcessSettings} from './process_settings.js';
export {reviewDocument} from './review/review_document.js';
export type {DocumentReview, ReviewVerdict} from './review/review_document.js';
export type {MarkedChange} from './review/mark_changes.js';
export type {ReviewFinding, ReviewKind} from './review/review_finding.js';
