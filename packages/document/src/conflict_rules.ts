import type {Environment} from '@pistachiorill/core';
import type {DocumentError} from './document_error.js';
import type {DocumentSection, ParsedSections} from './document_sections.js';
import {errorAt} from './reference_rules.js';

type Sections = ParsedSections['sections'];

/** Finds values that are valid individually but conflict with each other. */
export function findConflicts(
  read: ParsedSections,
  environments: readonly Environment[],
): DocumentError[] {
  const {sections} = read;
  return [
    ...missingSections(read),
    ...environments.flatMap(env => addressErrors(sections, env)),
    ...slotErrors(sections),
    ...memberErrors(sections),
    ...serviceNameErrors(sections),
    ...verifierErrors(sections),
    ...routeErrors(sections),
  ];
}

/**
 * Requires the basic sections, so that an empty document is not promoted by
 * mistake, which would remove everything.
 */
function missingSections(read: ParsedSections): DocumentError[] {
  const required = ['data_centre', 'backend_server', 'database'] as const;
  const titles = [...read.titles];
  return required
    .filter(kind => !titles.some(title => title.startsWith(`${kind} `)))
    .map(kind => ({
      kind: 'missing-section',
      line: undefined,
      section: kind,
      key: '',
      detail: `expected at least one [${kind} name] section`,
    }));
}

function addressErrors(
  sections: Sections,
  environment: Environment,
): DocumentError[] {
  const key = `address.${environment}` as const;
  const serversByAddress = new Map<string, string>();
  return sections.backend_server.flatMap((server): DocumentError[] => {
    const address = server.values[key];
    if (address === undefined) {
      const detail = `the key is missing; expected host:port for ${environment}`;
      return [errorAt(server, key, 'missing-key', detail)];
    }
    const otherServer = serversByAddress.get(address);
    if (otherServer === undefined) {
      serversByAddress.set(address, server.name);
      return [];
    }
    const detail = `backend server ${otherServer} has the same address`;
    return [errorAt(server, key, 'conflict', detail)];
  });
}

function slotErrors(sections: Sections): DocumentError[] {
  return sections.backend_server
    .filter(server => server.values.slots > server.values.connections)
    .map(server =>
      errorAt(
        server,
        'slots',
        'invalid-value',
        `expected at most the ${server.values.connections} connections`,
      ),
    );
}

/**
 * Finds backend servers that are members of two databases: such a server could
 * not be fenced for one of its groups only.
 */
function memberErrors(sections: Sections): DocumentError[] {
  const databasesByMember = new Map<string, string>();
  return sections.database.flatMap(database =>
    database.values.members.flatMap(name => {
      const otherDatabase = databasesByMember.get(name);
      if (otherDatabase === undefined) {
        databasesByMember.set(name, database.name);
        return [];
      }
      const detail = `backend server ${name} is already a member of database ${otherDatabase}`;
      return [errorAt(database, 'members', 'conflict', detail)];
    }),
  );
}

/**
 * Finds databases that have the name of another database's service: a name that
 * a caller gives must identify either a service or a database.
 */
function serviceNameErrors(sections: Sections): DocumentError[] {
  return sections.database
    .filter(database =>
      sections.database.some(
        other => other !== database && other.values.service === database.name,
      ),
    )
    .map(database =>
      errorAt(
        database,
        '',
        'conflict',
        'expected a name that is not the service of another database',
      ),
    );
}

/**
 * Finds keys with the same verifier: after the revocation of one of them, the
 * other would still accept the same secret.
 */
function verifierErrors(sections: Sections): DocumentError[] {
  const keysByVerifier = new Map<string, DocumentSection<'key'>>();
  return sections.key.flatMap(key => {
    const otherKey = keysByVerifier.get(key.values.verifier);
    if (!otherKey) {
      keysByVerifier.set(key.values.verifier, key);
      return [];
    }
    const detail = `[key ${otherKey.name}] has the same verifier`;
    return [errorAt(key, 'verifier', 'conflict', detail)];
  });
}

function routeErrors(sections: Sections): DocumentError[] {
  return sections.route.flatMap(route => {
    const {access, max_age_ms: maxAgeMs} = route.values;
    if (access === 'read' || maxAgeMs === 0) return [];
    const detail = 'only a route with access = read may accept stale data';
    return [errorAt(route, 'max_age_ms', 'conflict', detail)];
  });
}
