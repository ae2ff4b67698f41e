import type {DocumentError, DocumentFinding} from './document_error.js';
import type {DocumentSection, ParsedSections} from './document_sections.js';
import {lineOf, titleOf} from './ini_sections.js';
import type {SectionKind} from './section_schemas.js';

type AnySection = DocumentSection<SectionKind>;

/** Creates an error or warning at a key of a section. */
export function errorAt<const K extends string>(
  section: AnySection,
  key: string,
  kind: K,
  detail: string,
): DocumentFinding<K> {
  const {source} = section;
  const line = lineOf(source, key);
  return {kind, line, section: titleOf(source), key, detail};
}

/** Finds references to names that the document does not define. */
export function findInvalidReferences(read: ParsedSections): DocumentError[] {
  const {sections, titles} = read;
  const services = new Set(sections.database.map(d => d.values.service));
  const checkReference = (
    section: AnySection,
    key: string,
    kind: SectionKind,
    name: string,
  ): DocumentError[] =>
    titles.has(`${kind} ${name}`)
      ? []
      : [
          errorAt(
            section,
            key,
            'unknown-reference',
            `${name} is not in the document; expected the name of a [${kind}] section`,
          ),
        ];
  return [
    ...sections.backend_server.flatMap(server =>
      checkReference(
        server,
        'data_centre',
        'data_centre',
        server.values.data_centre,
      ),
    ),
    ...sections.database.flatMap(database =>
      database.values.members.flatMap(name =>
        checkReference(database, 'members', 'backend_server', name),
      ),
    ),
    ...sections.key.flatMap(key =>
      checkReference(key, 'workspace', 'workspace', key.values.workspace),
    ),
    ...sections.workspace.flatMap(workspace =>
      workspace.values.services
        .filter(service => !services.has(service))
        .map(service =>
          errorAt(
            workspace,
            'services',
            'unknown-reference',
            `${service} is not in the document; expected the service of a [database] section`,
          ),
        ),
    ),
  ];
}
