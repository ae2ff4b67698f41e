/** The kinds of error in a document or settings file. */
export type DocumentErrorKind =
  | 'syntax'
  | 'unknown-section'
  | 'duplicate-section'
  | 'missing-section'
  | 'unknown-key'
  | 'duplicate-key'
  | 'missing-key'
  | 'invalid-value'
  | 'invalid-name'
  | 'unknown-reference'
  | 'conflict';

/** A fault of a document or settings file. `K` is its string union of kinds. */
export interface DocumentFinding<K extends string> {
  readonly kind: K;
  /** Line number from 1; undefined for an error of the whole file. */
  readonly line: number | undefined;
  /** Title of the section, or an empty string. */
  readonly section: string;
  /** The key in the section, or an empty string. */
  readonly key: string;
  /** What is wrong or what is accepted. Never contains a secret value. */
  readonly detail: string;
}

/** An error in a document or settings file. */
export type DocumentError = DocumentFinding<DocumentErrorKind>;

/** Formats an error or warning for operators. */
export function formatDocumentError(err: DocumentFinding<string>): string {
  const place = err.line === undefined ? '' : `line ${err.line}: `;
  const section = err.section === '' ? '' : `[${err.section}]`;
  const key = err.key === '' ? '' : `${section === '' ? '' : ' '}${err.key}`;
  const subject = `${section}${key}`;
  return `${place}${subject}${subject === '' ? '' : ': '}${err.detail}`;
}
