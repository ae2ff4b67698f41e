import {
  AcceptFilter,
  MatchRouteFilter,
  ParseOptionsFilter,
} from '@pistachiorill/core';
import type {
  AuthenticateFilter,
  Filter,
  Refusal,
  RoutedStatement,
} from '@pistachiorill/core';
import {Pipeline} from '@pistachiorill/tasks';
import type {Clock} from '@pistachiorill/tasks';
import type {ConnectionDependencies} from './connection_dependencies.js';
import {ExecuteFilter} from './execute_filter.js';
import type {ExecutorLookup} from './execute_filter.js';

/** What the filters of a statement need. */
export interface StatementPipelineOptions {
  readonly statementBytes: number;
  readonly authenticate: AuthenticateFilter;
  readonly quota: Filter<RoutedStatement, RoutedStatement, Refusal>;
  readonly executors: ExecutorLookup;
  readonly clock: Clock;
}

/** Connects the filters through which the statements of all callers pass. */
export function createStatementPipelines(
  options: StatementPipelineOptions,
): Pick<ConnectionDependencies, 'parse' | 'route' | 'execute'> {
  const {clock} = options;
  return {
    parse: Pipeline.of(new AcceptFilter(options.statementBytes), clock)
      .then(options.authenticate)
      .then(new ParseOptionsFilter()),
    route: Pipeline.of(new MatchRouteFilter(), clock).then(options.quota),
    execute: Pipeline.of(new ExecuteFilter(options.executors), clock),
  };
}
