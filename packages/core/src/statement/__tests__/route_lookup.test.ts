import {describe, expect, it} from 'vitest';
import type {Configuration} from '../../configuration/configuration.js';
import {DEFAULT_ROUTE} from '../../routing/route.js';
import {MatchRouteFilter} from '../match_route_filter.js';
import type {Caller, ParsedStatement, StatementOptions} from '../statement.js';

const CONFIGURATION: Configuration = {
  whenUnconfirmed: 'refuse',
  dataCentres: [],
  backendServers: [],
  databases: [
    {name: 's-1', service: 's', members: []},
    {name: 's-2', service: 's', members: []},
    {name: 'other', service: 't', members: []},
  ],
  workspaces: ['a', 'b', 'c'].map(name => ({
    name,
    rate: 1,
    burst: 1,
    keys: [],
    services: ['s'],
  })),
  routes: [
    {...DEFAULT_ROUTE, name: 'lookup', access: 'read', maxAgeMs: 500},
    {...DEFAULT_ROUTE, name: 'public', access: 'read', audience: 'open'},
  ],
};

function keyed(workspace: string): Caller {
  return {kind: 'keyed', workspace, keyId: 'k'};
}

function lookUp(
  caller: Caller,
  databaseName: string,
  options: StatementOptions,
): unknown {
  const statement: ParsedStatement = {
    connectionId: '1',
    caller,
    databaseName,
    sql: 'SELECT 1',
    scope: 'autocommit',
    receivedAt: 100,
    context: {
      activeConfiguration: {
        version: 1,
        hash: 'h',
        configuration: CONFIGURATION,
      },
      confirmation: 'confirmed',
      lifecycle: 'serving',
    },
    options,
    verb: 'query',
    changesData: false,
  };
  const result = new MatchRouteFilter().run(statement);
  if (!result.ok) return result.err;
  const {database, maxAgeMs, deadline} = result.value;
  return {database, route: result.value.route.name, maxAgeMs, deadline};
}

const CASES: ReadonlyArray<
  readonly [string, Caller, string, StatementOptions]
> = [
  ['finds the default database of workspace a', keyed('a'), 's', {}],
  ['finds the default database of workspace b', keyed('b'), 's', {}],
  ['finds the default database of workspace c', keyed('c'), 's', {}],
  ['finds the database of a shard', keyed('a'), 's', {shard: 'b'}],
  ['finds a database by its name', keyed('a'), 's-2', {shard: 'b'}],
  ['refuses a service that is not granted', keyed('a'), 't', {}],
  ['refuses a database that is not granted', keyed('a'), 'other', {}],
  ['refuses an unknown database', keyed('a'), 'none', {}],
  ['refuses an unknown workspace', keyed('x'), 's', {}],
  ['applies a named route', keyed('a'), 's', {route: 'lookup', maxAgeMs: 900}],
  ['refuses an unknown route', keyed('a'), 's', {route: 'none'}],
  [
    'accepts an anonymous caller on an open route',
    {kind: 'anonymous'},
    't',
    {route: 'public'},
  ],
  [
    'refuses an anonymous caller on a route that requires a key',
    {kind: 'anonymous'},
    's',
    {route: 'lookup'},
  ],
];

// Guards against a statement that reaches the database of another workspace
// or a service that its workspace may not use.
describe('route lookup', () => {
  it.each(CASES)('%s', (unusedName, caller, databaseName, options) => {
    expect(lookUp(caller, databaseName, options)).toMatchSnapshot();
  });
});
