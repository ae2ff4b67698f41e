import {createHash} from 'node:crypto';
import {fail, ok} from '@pistachiorill/core';
import type {
  Configuration,
  Environment,
  KeyGrant,
  Result,
} from '@pistachiorill/core';
import {checkDocument} from './check_document.js';
import type {DocumentError} from './document_error.js';
import type {DocumentSection, DocumentSections} from './document_sections.js';

const GRANT_ID_HEX_DIGITS = 8;

/** Parses and validates an operators' document for one environment. */
export function parseDocument(
  text: string,
  environment: Environment,
): Result<Configuration, readonly DocumentError[]> {
  const check = checkDocument(text, [environment]);
  if (check.errors.length > 0) return fail(check.errors);
  return ok(toConfiguration(check.sections, environment));
}

function toConfiguration(
  sections: DocumentSections,
  environment: Environment,
): Configuration {
  return {
    whenUnconfirmed: sections.document[0]?.values.when_unconfirmed ?? 'refuse',
    dataCentres: sections.data_centre.map(({name, values}) => ({
      name,
      region: values.region,
      state: values.state,
    })),
    backendServers: sections.backend_server.map(({name, values}) => ({
      name,
      dataCentre: values.data_centre,
      address: values[`address.${environment}`] ?? '',
      state: values.state,
      connectionLimit: values.connections,
      slots: values.slots,
    })),
    databases: sections.database.map(({name, values}) => ({
      name,
      service: values.service,
      members: values.members,
    })),
    workspaces: sections.workspace.map(({name, values}) => ({
      name,
      rate: values.rate,
      burst: values.burst,
      services: values.services,
      keys: sections.key
        .filter(key => key.values.workspace === name)
        .map(toGrant),
    })),
    routes: sections.route.map(({name, values}) => ({
      name,
      access: values.access,
      repeatable: values.repeatable,
      audience: values.audience,
      maxAgeMs: values.max_age_ms,
      deadlineMs: values.deadline_ms,
      acknowledge: values.acknowledge,
    })),
  };
}

/**
 * Derives the id of a grant from its name and verifier. Connections store the
 * id, so replacing the verifier under the same name revokes the previous key.
 */
function toGrant({name, values}: DocumentSection<'key'>): KeyGrant {
  const digest = createHash('sha256').update(values.verifier).digest('hex');
  return {
    id: `${name}-${digest.slice(0, GRANT_ID_HEX_DIGITS)}`,
    verifier: values.verifier,
  };
}
