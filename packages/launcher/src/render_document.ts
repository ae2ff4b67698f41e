import {computeVerifier} from '@pistachiorill/mysql';
import type {Profile} from './profile.js';

/** How a document differs from the one that its profile describes. */
export interface DocumentChanges {
  readonly dataCentresOut?: readonly string[];
  readonly leavingServers?: readonly string[];
  readonly withdrawnWorkspaces?: readonly string[];
}

/** Addresses of backend servers, by name. */
export type ServerAddresses = ReadonlyMap<string, string>;

/** Returns the name of a database's member in a data centre. */
export function memberName(database: string, dataCentre: string): string {
  return `${database}-${dataCentre}`;
}

/** Returns the names of all databases of a profile. */
export function databaseNames(profile: Profile): string[] {
  return Array.from(
    {length: profile.databaseCount},
    (unused, index) => `${profile.service}-${index + 1}`,
  );
}

/**
 * Renders the operators' document of a profile: data centres, backend servers,
 * databases, keys, workspaces and routes.
 */
export function renderDocument(
  profile: Profile,
  addresses: ServerAddresses,
  changes: DocumentChanges = {},
): string {
  return [
    ...profile.dataCentres.map(name =>
      dataCentreSection(profile, name, changes),
    ),
    ...databaseNames(profile).flatMap(database => [
      ...profile.dataCentres.map(dataCentre =>
        serverSection(profile, database, dataCentre, addresses, changes),
      ),
      databaseSection(profile, database),
    ]),
    ...profile.workspaces
      .filter(item => !changes.withdrawnWorkspaces?.includes(item.name))
      .map(item =>
        section(`key ${item.name}-key`, {
          workspace: item.name,
          verifier: computeVerifier(item.key),
        }),
      ),
    ...profile.workspaces.map(item =>
      section(`workspace ${item.name}`, {
        rate: item.rate,
        burst: item.burst,
        services: profile.service,
      }),
    ),
    ...ROUTES,
  ].join('\n');
}

const ROUTES = [
  section('route release', {access: 'write', deadline_ms: 5_000}),
  section('route note', {
    access: 'write',
    repeatable: true,
    deadline_ms: 5_000,
  }),
  section('route invoice', {access: 'read', deadline_ms: 5_000}),
  section('route lookup', {
    access: 'read',
    max_age_ms: 2_000,
    deadline_ms: 5_000,
  }),
  section('route public', {
    access: 'read',
    audience: 'open',
    max_age_ms: 10_000,
    deadline_ms: 5_000,
  }),
];

function dataCentreSection(
  profile: Profile,
  name: string,
  changes: DocumentChanges,
): string {
  return section(`data_centre ${name}`, {
    region: profile.region,
    state: changes.dataCentresOut?.includes(name) ? 'out' : 'in-service',
  });
}

function serverSection(
  profile: Profile,
  database: string,
  dataCentre: string,
  addresses: ServerAddresses,
  changes: DocumentChanges,
): string {
  const name = memberName(database, dataCentre);
  const address = addresses.get(name) ?? '';
  return section(`backend_server ${name}`, {
    data_centre: dataCentre,
    'address.trial': address,
    'address.production': address,
    connections: profile.connectionLimit,
    slots: profile.slots,
    state: changes.leavingServers?.includes(name) ? 'leaving' : 'in-service',
  });
}

function databaseSection(profile: Profile, database: string): string {
  return section(`database ${database}`, {
    service: profile.service,
    members: profile.dataCentres
      .map(dataCentre => memberName(database, dataCentre))
      .join(', '),
  });
}

function section(
  title: string,
  values: Readonly<Record<string, string | number | boolean>>,
): string {
  const lines = Object.entries(values).map(
    ([key, value]) => `${key} = ${value}`,
  );
  return [`[${title}]`, ...lines, ''].join('\n');
}
