import type {DocumentError} from './document_error.js';
import type {DocumentSections} from './document_sections.js';
import {errorAt} from './reference_rules.js';

const RECOMMENDED_MEMBERS = 3;

/** Finds values that are valid but probably unintended. */
export function findWarnings(sections: DocumentSections): DocumentError[] {
  return [
    ...memberWarnings(sections),
    ...connectionWarnings(sections),
    ...workspaceWarnings(sections),
    ...routeWarnings(sections),
  ];
}

function memberWarnings(sections: DocumentSections): DocumentError[] {
  const servers = new Map(sections.backend_server.map(s => [s.name, s.values]));
  const out = new Set(
    sections.data_centre.filter(d => d.values.state === 'out').map(d => d.name),
  );
  return sections.database.flatMap(database => {
    const {members} = database.values;
    const details: string[] = [];
    if (members.length < RECOMMENDED_MEMBERS) {
      details.push('fewer than 3 members: one failure stops writes');
    } else if (members.length % 2 === 0) {
      details.push(
        'an even number of members tolerates no more failures than one fewer',
      );
    }
    const dataCentres = members.flatMap(m => servers.get(m)?.data_centre ?? []);
    if (members.length > 1 && new Set(dataCentres).size === 1) {
      details.push('all members are in one data centre');
    }
    const inService = members.filter(name => {
      const server = servers.get(name);
      return server?.state === 'in-service' && !out.has(server.data_centre);
    });
    if (inService.length === 0) {
      details.push('no member is in service, so no statement is executed');
    } else if (inService.length <= members.length / 2) {
      details.push('less than a majority of the members is in service');
    }
    return details.map(detail =>
      errorAt(database, 'members', 'invalid-value', detail),
    );
  });
}

/**
 * Compares the connections of each backend server with the formula of the
 * connection allowance, assuming one owner VM per data centre.
 */
function connectionWarnings(sections: DocumentSections): DocumentError[] {
  const ownerVms = Math.max(1, sections.data_centre.length);
  const needed = 2 * ownerVms + 1;
  return sections.backend_server
    .filter(server => server.values.connections < needed)
    .map(server =>
      errorAt(
        server,
        'connections',
        'invalid-value',
        `fewer than ${needed} connections leave none for statements when each data centre has an owner VM`,
      ),
    );
}

function workspaceWarnings(sections: DocumentSections): DocumentError[] {
  const withKey = new Set(sections.key.map(key => key.values.workspace));
  return sections.workspace
    .filter(workspace => !withKey.has(workspace.name))
    .map(workspace =>
      errorAt(workspace, '', 'missing-key', 'the workspace has no key'),
    );
}

function routeWarnings(sections: DocumentSections): DocumentError[] {
  return sections.route.flatMap(route => {
    const {access, audience, acknowledge} = route.values;
    const warnings: DocumentError[] = [];
    if (access === 'write' && audience === 'open') {
      const detail = 'callers without a key may write on this route';
      warnings.push(errorAt(route, 'audience', 'invalid-value', detail));
    }
    if (access === 'read' && acknowledge === 'primary') {
      const detail = 'acknowledge has no effect on reads';
      warnings.push(errorAt(route, 'acknowledge', 'invalid-value', detail));
    }
    return warnings;
  });
}
