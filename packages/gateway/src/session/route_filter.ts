import {Filter, fail, ok} from '@pistachiorill/core';
import type {Result, RuntimeConfiguration} from '@pistachiorill/core';
import type {SessionRefusal} from '../ports/caller_link.js';
import {ANONYMOUS_WORKSPACE} from './session_statement.js';
import type {ReceivedStatement, RoutedStatement} from './session_statement.js';

/** How soon a caller may retry on a VM without a configuration. */
const STARTUP_RETRY_AFTER_MS = 500;

/** Looks up a database's route and the workspace of a key. */
export function resolveCaller(
  configuration: RuntimeConfiguration | undefined,
  database: string,
  key: string,
): Result<
  Pick<RoutedStatement, 'route' | 'workspace' | 'caller' | 'regions'>,
  SessionRefusal
> {
  if (!configuration) {
    const detail = 'this VM has no configuration yet';
    return fail({kind: 'busy', detail, retryAfterMs: STARTUP_RETRY_AFTER_MS});
  }
  const route = configuration.routes.get(database);
  if (!route) return fail({kind: 'unknown-database', detail: database});
  const name = configuration.keys.get(key);
  const workspace =
    name === undefined ? undefined : configuration.workspaces.get(name);
  if (!workspace) {
    if (route.audience === 'keyed') {
      return fail({kind: 'bad-key', detail: 'the key is unknown or withdrawn'});
    }
    const {regions} = route;
    return ok({
      route,
      workspace: ANONYMOUS_WORKSPACE,
      caller: 'anonymous',
      regions,
    });
  }
  return ok({
    route,
    workspace: workspace.name,
    caller: 'keyed',
    regions: commonRegions(route.regions, workspace.regions),
  });
}

/**
 * Returns the regions that both lists allow. An empty list allows all regions,
 * so lists without a common region result in a name that matches none.
 */
function commonRegions(
  a: readonly string[],
  b: readonly string[],
): readonly string[] {
  if (a.length === 0) return b;
  if (b.length === 0) return a;
  const common = a.filter(region => b.includes(region));
  return common.length > 0 ? common : ['none'];
}

/**
 * Looks up a statement's route and checks its key again, as the configuration
 * may have changed since the session was opened.
 */
export class RouteFilter extends Filter<
  ReceivedStatement,
  RoutedStatement,
  SessionRefusal
> {
  override readonly name = 'route';

  override run(
    statement: ReceivedStatement,
  ): Result<RoutedStatement, SessionRefusal> {
    const {configuration, database, key, receivedAt} = statement;
    const found = resolveCaller(configuration, database, key);
    if (!found.ok) return found;
    return ok({
      ...statement,
      ...found.value,
      deadline: receivedAt + found.value.route.statementTimeoutMs,
    });
  }
}
