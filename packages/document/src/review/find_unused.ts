import type {DocumentFinding} from '../document_error.js';
import type {DocumentSections} from '../document_sections.js';
import {errorAt} from '../reference_rules.js';
import type {UnusedKind} from './review_finding.js';

type UnusedFinding = DocumentFinding<UnusedKind>;

/** Finds entries that no statement can reach. */
export function findUnused(sections: DocumentSections): UnusedFinding[] {
  return [
    ...unusedServers(sections),
    ...unusedServices(sections),
    ...routesWithoutCaller(sections),
    ...dataCentresOut(sections),
  ];
}

function unusedServers(sections: DocumentSections): UnusedFinding[] {
  const members = new Set(sections.database.flatMap(d => d.values.members));
  const detail = 'the backend server is a member of no database';
  return sections.backend_server
    .filter(server => !members.has(server.name))
    .map(server => errorAt(server, '', 'server-without-database', detail));
}

/**
 * Reports a service once, at the first of its databases. Callers without a key
 * reach every service by an open route.
 */
function unusedServices(sections: DocumentSections): UnusedFinding[] {
  if (sections.route.some(route => route.values.audience === 'open')) return [];
  const reported = new Set(sections.workspace.flatMap(w => w.values.services));
  return sections.database.flatMap(database => {
    const {service} = database.values;
    if (reported.has(service)) return [];
    reported.add(service);
    const detail = `no workspace may use the service ${service}, and no route is open`;
    return [errorAt(database, 'service', 'service-without-workspace', detail)];
  });
}

function routesWithoutCaller(sections: DocumentSections): UnusedFinding[] {
  if (sections.key.length > 0) return [];
  const detail = 'the route needs a key and the document has none';
  return sections.route
    .filter(route => route.values.audience === 'keyed')
    .map(route => errorAt(route, 'audience', 'route-without-caller', detail));
}

function dataCentresOut(sections: DocumentSections): UnusedFinding[] {
  if (sections.data_centre.some(d => d.values.state === 'in-service')) {
    return [];
  }
  const detail = 'no data centre is in service, so all VMs drain';
  return sections.data_centre
    .slice(0, 1)
    .map(d => errorAt(d, 'state', 'no-data-centre-in-service', detail));
}
