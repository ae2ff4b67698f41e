import type {DocumentSection, DocumentSections} from './document_sections.js';
import type {SectionKind} from './section_schemas.js';

/** A difference between two documents, as shown to operators and audited. */
export type DocumentChange =
  | {
      readonly kind: 'section-added' | 'section-removed';
      readonly section: SectionKind;
      readonly name: string;
      readonly reason: string | undefined;
    }
  | {
      readonly kind: 'value-changed';
      readonly section: SectionKind;
      readonly name: string;
      readonly key: string;
      readonly before: string;
      readonly after: string;
      readonly reason: string | undefined;
    };

/** Keys whose values are not shown, because they sign session tokens. */
const SECRET_KEYS = new Set(['verifier']);

/**
 * Lists the changes between two documents. Values are compared with defaults
 * filled in, so writing out a default is no change. The reason is that of the
 * section, or of the document if the section has none or is removed.
 */
export function compareDocuments(
  before: DocumentSections,
  after: DocumentSections,
): readonly DocumentChange[] {
  const kinds = Object.keys(after) as SectionKind[];
  return kinds.flatMap(kind =>
    kind === 'document'
      ? compareSection(
          before.document[0] ?? emptyDocument(),
          after.document[0] ?? emptyDocument(),
          documentReason(after),
        )
      : compareKind(before[kind], after[kind], documentReason(after)),
  );
}

type AnySection = DocumentSection<SectionKind>;

function documentReason(sections: DocumentSections): string | undefined {
  return sections.document[0]?.values.reason;
}

function compareKind(
  before: readonly AnySection[],
  after: readonly AnySection[],
  fallback: string | undefined,
): DocumentChange[] {
  const previousByName = new Map(
    before.map(section => [section.name, section]),
  );
  const remainingNames = new Set(after.map(section => section.name));
  return [
    ...before
      .filter(section => !remainingNames.has(section.name))
      .map(section => sectionChange('section-removed', section, fallback)),
    ...after.flatMap(section => {
      const reason = section.values.reason ?? fallback;
      const previous = previousByName.get(section.name);
      return previous
        ? compareSection(previous, section, reason)
        : [sectionChange('section-added', section, reason)];
    }),
  ];
}

function sectionChange(
  kind: 'section-added' | 'section-removed',
  section: AnySection,
  reason: string | undefined,
): DocumentChange {
  return {kind, section: section.kind, name: section.name, reason};
}

function compareSection(
  before: AnySection,
  after: AnySection,
  reason: string | undefined,
): DocumentChange[] {
  const oldValues = before.values as Readonly<Record<string, unknown>>;
  const newValues = after.values as Readonly<Record<string, unknown>>;
  return [...new Set([...Object.keys(oldValues), ...Object.keys(newValues)])]
    .filter(
      key =>
        key !== 'reason' && format(oldValues[key]) !== format(newValues[key]),
    )
    .map(key => ({
      kind: 'value-changed',
      section: after.kind,
      name: after.name,
      key,
      before: SECRET_KEYS.has(key) ? '(not shown)' : format(oldValues[key]),
      after: SECRET_KEYS.has(key) ? '(not shown)' : format(newValues[key]),
      reason,
    }));
}

function emptyDocument(): DocumentSection<'document'> {
  return {
    kind: 'document',
    name: '',
    values: {when_unconfirmed: 'refuse', reason: undefined},
    source: {kind: 'document', name: '', line: 0, entries: []},
  };
}

function format(value: unknown): string {
  if (value === undefined) return '';
  return Array.isArray(value) ? value.join(', ') : String(value);
}
