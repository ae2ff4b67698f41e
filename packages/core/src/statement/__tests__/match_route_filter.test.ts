import {describe, expect, it} from 'vitest';
import type {Configuration} from '../../configuration/configuration.js';
import type {Route} from '../../routing/route.js';
import {DEFAULT_ROUTE} from '../../routing/route.js';
import {encodeSessionToken} from '../../session/session_token.js';
import {AuthenticateFilter} from '../authenticate_filter.js';
import {MatchRouteFilter} from '../match_route_filter.js';
import type {Caller, Confirmation, ParsedStatement} from '../statement.js';

const VERIFIER = 'a'.repeat(40);

function route(name: string, change: Partial<Route>): Route {
  return {...DEFAULT_ROUTE, name, ...change};
}

const CONFIGURATION: Configuration = {
  whenUnconfirmed: 'refuse',
  dataCentres: [],
  backendServers: [],
  databases: [
    {name: 'ledger-1', service: 'ledger', members: []},
    {name: 'ledger-2', service: 'ledger', members: []},
    {name: 'labels-1', service: 'labels', members: []},
  ],
  workspaces: [
    {
      name: 'co-op',
      rate: 1,
      burst: 1,
      keys: [{id: 'k1', verifier: VERIFIER}],
      services: ['ledger'],
    },
  ],
  routes: [
    route('lookup', {access: 'read', maxAgeMs: 500}),
    route('public', {access: 'read', audience: 'open', maxAgeMs: 500}),
  ],
};

const KEYED: Caller = {kind: 'keyed', workspace: 'co-op', keyId: 'k1'};

function statement(
  change: Partial<ParsedStatement>,
  confirmation: Confirmation = 'confirmed',
): ParsedStatement {
  return {
    connectionId: '1',
    caller: KEYED,
    databaseName: 'ledger',
    sql: 'SELECT 1',
    scope: 'autocommit',
    receivedAt: 100,
    context: {
      activeConfiguration: {
        version: 1,
        hash: 'h',
        configuration: CONFIGURATION,
      },
      confirmation,
      lifecycle: 'serving',
    },
    options: {},
    verb: 'query',
    changesData: false,
    ...change,
  };
}

const SESSION = encodeSessionToken(
  'co-op',
  new Map([['ledger-2', {term: 2, position: 7}]]),
  VERIFIER,
);

const CASES: ReadonlyArray<readonly [string, Partial<ParsedStatement>]> = [
  ['treats a statement without a route as a write', {}],
  ['applies a read route', {options: {route: 'lookup'}}],
  [
    'applies a maximum age below that of the route',
    {options: {route: 'lookup', maxAgeMs: 100}},
  ],
  [
    'limits a maximum age to that of the route',
    {options: {route: 'lookup', maxAgeMs: 900}},
  ],
  [
    'refuses a write on a read route',
    {options: {route: 'lookup'}, changesData: true},
  ],
  ['refuses an unknown route', {options: {route: 'x'}}],
  ['uses the database that is named', {databaseName: 'ledger-2'}],
  ['shard', {options: {shard: 'lot-7'}}],
  ['refuses a service that is not granted', {databaseName: 'labels'}],
  ['refuses an unknown service', {databaseName: 'x'}],
  [
    'requires the position in the session token',
    {
      databaseName: 'ledger-2',
      options: {route: 'lookup', session: SESSION},
    },
  ],
  [
    'marks the requirement of a forged session token as unknown',
    {options: {route: 'lookup', session: `A${SESSION}`}},
  ],
  [
    'refuses an anonymous caller on a route that requires a key',
    {caller: {kind: 'anonymous'}},
  ],
  [
    'accepts an anonymous caller on an open route',
    {caller: {kind: 'anonymous'}, options: {route: 'public'}},
  ],
];

describe('MatchRouteFilter', () => {
  // Guards against a statement that is handled with weaker guarantees than its
  // route requires, and against one that reaches the service of another
  // workspace.
  it.each(CASES)('%s', (unusedName, change) => {
    const result = new MatchRouteFilter().run(statement(change));
    expect(
      result.ok
        ? {
            route: result.value.route.name,
            database: result.value.database,
            maxAgeMs: result.value.maxAgeMs,
            deadline: result.value.deadline,
            requirement: result.value.requirement,
            changesData: result.value.changesData,
          }
        : result.err,
    ).toMatchSnapshot();
  });
});

describe('AuthenticateFilter', () => {
  // Guards against a withdrawn key that still works on an open connection, and
  // against a VM that accepts keys while it cannot confirm them.
  it('checks the key of each statement', () => {
    const filter = new AuthenticateFilter();
    const withdrawn = {...KEYED, keyId: 'k0'} as Caller;
    const anonymous: Caller = {kind: 'anonymous'};
    const outcome = (caller: Caller, confirmation: Confirmation): string => {
      const result = filter.run(statement({caller}, confirmation));
      return result.ok ? 'accepted' : result.err.kind;
    };
    expect({
      granted: outcome(KEYED, 'confirmed'),
      withdrawn: outcome(withdrawn, 'confirmed'),
      unconfirmed: outcome(KEYED, 'unconfirmed'),
      anonymousUnconfirmed: outcome(anonymous, 'unconfirmed'),
    }).toMatchSnapshot();
  });
});
