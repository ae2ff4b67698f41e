import type {DocumentFinding} from './document_error.js';
import type {DocumentSections} from './document_sections.js';
import {errorAt} from './reference_rules.js';

/** The kinds of warning about values that are valid but probably unintended. */
export type DocumentWarningKind =
  | 'few-members'
  | 'even-members'
  | 'one-data-centre'
  | 'no-member-in-service'
  | 'minority-in-service'
  | 'few-connections'
  | 'workspace-without-key'
  | 'open-write'
  | 'acknowledge-without-effect';

/** A warning about a document. */
export type DocumentWarning = DocumentFinding<DocumentWarningKind>;

const RECOMMENDED_MEMBERS = 3;

/** Finds values that are valid but probably unintended. */
export function findWarnings(sections: DocumentSections): DocumentWarning[] {
  return [
    ...memberWarnings(sections),
    ...connectionWarnings(sections),
    ...workspaceWarnings(sections),
    ...routeWarnings(sections),
  ];
}

function memberWarnings(sections: DocumentSections): DocumentWarning[] {
  const servers = new Map(sections.backend_server.map(s => [s.name, s.values]));
  const out = new Set(
    sections.data_centre.filter(d => d.values.state === 'out').map(d => d.name),
  );
  return sections.database.flatMap(database => {
    const {members} = database.values;
    const found: Array<[DocumentWarningKind, string]> = [];
    if (members.length < RECOMMENDED_MEMBERS) {
      found.push([
        'few-members',
        'fewer than 3 members: one failure stops writes',
      ]);
    } else if (members.length % 2 === 0) {
      found.push([
        'even-members',
        'an even number of members tolerates no more failures than one fewer',
      ]);
    }
    const dataCentres = members.flatMap(m => servers.get(m)?.data_centre ?? []);
    if (members.length > 1 && new Set(dataCentres).size === 1) {
      found.push(['one-data-centre', 'all members are in one data centre']);
    }
    const inService = members.filter(name => {
      const server = servers.get(name);
      return server?.state === 'in-service' && !out.has(server.data_centre);
    });
    if (inService.length === 0) {
      found.push([
        'no-member-in-service',
        'no member is in service, so no statement is executed',
      ]);
    } else if (inService.length <= members.length / 2) {
      found.push([
        'minority-in-service',
        'less than a majority of the members is in service',
      ]);
    }
    return found.map(([kind, detail]) =>
      errorAt(database, 'members', kind, detail),
    );
  });
}

/**
 * Compares the connections of each backend server with the formula of the
 * connection allowance, assuming one owner VM per data centre.
 */
function connectionWarnings(sections: DocumentSections): DocumentWarning[] {
  const ownerVms = Math.max(1, sections.data_centre.length);
  const needed = 2 * ownerVms + 1;
  return sections.backend_server
    .filter(server => server.values.connections < needed)
    .map(server =>
      errorAt(
        server,
        'connections',
        'few-connections',
        `fewer than ${needed} connections leave none for statements when each data centre has an owner VM`,
      ),
    );
}

function workspaceWarnings(sections: DocumentSections): DocumentWarning[] {
  const withKey = new Set(sections.key.map(key => key.values.workspace));
  return sections.workspace
    .filter(workspace => !withKey.has(workspace.name))
    .map(workspace =>
      errorAt(
        workspace,
        '',
        'workspace-without-key',
        'the workspace has no key',
      ),
    );
}

function routeWarnings(sections: DocumentSections): DocumentWarning[] {
  return sections.route.flatMap(route => {
    const {access, audience, acknowledge} = route.values;
    const warnings: DocumentWarning[] = [];
    if (access === 'write' && audience === 'open') {
      const detail = 'callers without a key may write on this route';
      warnings.push(errorAt(route, 'audience', 'open-write', detail));
    }
    if (access === 'read' && acknowledge === 'primary') {
      const detail = 'acknowledge has no effect on reads';
      warnings.push(
        errorAt(route, 'acknowledge', 'acknowledge-without-effect', detail),
      );
    }
    return warnings;
  });
}
