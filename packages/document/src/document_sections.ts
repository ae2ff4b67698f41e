import type {DocumentError} from './document_error.js';
import {parseIniSections, titleOf, valuesOf} from './ini_sections.js';
import type {IniSection} from './ini_sections.js';
import {toDocumentErrors} from './schema_errors.js';
import {SECTION_SCHEMAS} from './section_schemas.js';
import type {SectionKind, SectionValues} from './section_schemas.js';

/** A validated section. */
export interface DocumentSection<K extends SectionKind> {
  readonly kind: K;
  readonly name: string;
  readonly values: SectionValues<K>;
  /** The section as read from the file, with line numbers. */
  readonly source: IniSection;
}

/** The sections of a document by kind, in file order. */
export type DocumentSections = {
  readonly [K in SectionKind]: Array<DocumentSection<K>>;
};

/** The result of parsing a file. Sections with errors are left out. */
export interface ParsedSections {
  readonly sections: DocumentSections;
  /** The titles of all sections, including those with errors. */
  readonly titles: ReadonlySet<string>;
  readonly errors: readonly DocumentError[];
}

/**
 * Clients log in with the workspace name as MySQL user name, which has at most
 * 32 characters.
 */
const MAX_WORKSPACE_NAME_LENGTH = 32;
const NAME_PATTERN = /^[a-z0-9][a-z0-9_-]{0,63}$/;

/** Parses the sections of a document and validates each one separately. */
export function parseDocumentSections(text: string): ParsedSections {
  const sections: DocumentSections = {
    document: [],
    data_centre: [],
    backend_server: [],
    database: [],
    workspace: [],
    key: [],
    route: [],
  };
  const file = parseIniSections(text);
  const errors = file.sections.flatMap(section =>
    addSection(sections, section),
  );
  return {
    sections,
    titles: new Set(file.sections.map(titleOf)),
    errors: [...file.errors, ...errors],
  };
}

function addSection(
  sections: DocumentSections,
  source: IniSection,
): DocumentError[] {
  if (!Object.hasOwn(SECTION_SCHEMAS, source.kind)) {
    return [
      {
        kind: 'unknown-section',
        line: source.line,
        section: titleOf(source),
        key: '',
        detail: `unknown section; accepted are ${Object.keys(SECTION_SCHEMAS).join(', ')}`,
      },
    ];
  }
  const kind = source.kind as SectionKind;
  const schema = SECTION_SCHEMAS[kind];
  const parsed = schema.safeParse(valuesOf(source));
  const errors = [
    ...nameErrors(kind, source),
    ...(parsed.success
      ? []
      : toDocumentErrors(
          source,
          parsed.error.issues,
          Object.keys(schema.shape),
        )),
  ];
  if (errors.length === 0 && parsed.success) {
    const list = sections[kind] as Array<DocumentSection<SectionKind>>;
    list.push({kind, name: source.name, values: parsed.data, source});
  }
  return errors;
}

function nameErrors(kind: SectionKind, source: IniSection): DocumentError[] {
  const detail = invalidNameDetail(kind, source.name);
  if (detail === undefined) return [];
  return [
    {
      kind: 'invalid-name',
      line: source.line,
      section: titleOf(source),
      key: '',
      detail,
    },
  ];
}

function invalidNameDetail(
  kind: SectionKind,
  name: string,
): string | undefined {
  if (kind === 'document') {
    return name === '' ? undefined : 'expected [document] without a name';
  }
  if (name === '') return `expected a name, as in [${kind} name]`;
  if (!NAME_PATTERN.test(name)) {
    return 'expected a name of lower-case letters, digits, - and _, at most 64';
  }
  if (kind === 'workspace' && name.length > MAX_WORKSPACE_NAME_LENGTH) {
    return `expected at most ${MAX_WORKSPACE_NAME_LENGTH} characters, as it is a MySQL user name`;
  }
  if (kind === 'route' && name === 'default') {
    return 'the name default is reserved for statements without a route';
  }
  return undefined;
}
