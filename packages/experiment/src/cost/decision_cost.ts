import {performance} from 'node:perf_hooks';
import {
  DEFAULT_ROUTE,
  MatchRouteFilter,
  Random,
  ReplicaFirstPolicy,
} from '@pistachiorill/core';
import type {
  Configuration,
  FreshnessLog,
  GroupView,
  MemberRequest,
  ParsedStatement,
} from '@pistachiorill/core';

const WARM_UP_CALLS = 20_000;
const ROUNDS = 5;
const ROUND_MS = 60;
const BATCH_CALLS = 200;
const MEMBER_COUNTS = [3, 5, 9, 33];
const WORKSPACE_COUNTS = [8, 80, 800, 8_000];
const ROUTE_COUNTS = [5, 50, 500];
const DATABASE_COUNT = 3;
const SAMPLE_COUNT = 64;
const NOW = 10_000;

/** How long a decision takes for a configuration of the given size. */
export interface DecisionCost {
  readonly decision: 'choose-member' | 'match-route';
  readonly size: string;
  /** Median of five rounds. */
  readonly nanoseconds: number;
}

/** Measures the decisions that are made for each statement. */
export function measureDecisions(): DecisionCost[] {
  return [
    ...MEMBER_COUNTS.map(members => ({
      decision: 'choose-member' as const,
      size: `${members} members`,
      nanoseconds: medianNanoseconds(chooseMember(members)),
    })),
    ...WORKSPACE_COUNTS.map(workspaces => ({
      decision: 'match-route' as const,
      size: `${workspaces} workspaces, ${ROUTE_COUNTS[0]} routes`,
      nanoseconds: medianNanoseconds(
        matchRoute(workspaces, ROUTE_COUNTS[0] ?? 0),
      ),
    })),
    ...ROUTE_COUNTS.map(routes => ({
      decision: 'match-route' as const,
      size: `${WORKSPACE_COUNTS[0]} workspaces, ${routes} routes`,
      nanoseconds: medianNanoseconds(
        matchRoute(WORKSPACE_COUNTS[0] ?? 0, routes),
      ),
    })),
  ];
}

/** Returns the time of a call in nanoseconds, as the median of the rounds. */
function medianNanoseconds(call: () => unknown): number {
  for (let count = 0; count < WARM_UP_CALLS; count += 1) call();
  const rounds = Array.from({length: ROUNDS}, () => {
    const start = performance.now();
    let calls = 0;
    while (performance.now() - start < ROUND_MS) {
      for (let count = 0; count < BATCH_CALLS; count += 1) call();
      calls += BATCH_CALLS;
    }
    return ((performance.now() - start) * 1e6) / calls;
  });
  rounds.sort((a, b) => a - b);
  return Math.round(rounds[Math.floor(ROUNDS / 2)] ?? 0);
}

function chooseMember(memberCount: number): () => unknown {
  const end = {term: 1, position: 1_000};
  const view: GroupView = {
    database: 'd1',
    members: Array.from({length: memberCount}, (unused, index) => ({
      backendServer: `m${index}`,
      dataCentre: 'dc',
      reachability: 'reachable',
      reachabilitySince: 0,
      polledAt: NOW,
      accepting: true,
      state: {
        role: index === 0 ? 'primary' : 'replica',
        term: 1,
        received: end,
        applied: end,
        fencedTerm: 1,
        fencedOwner: 'o',
        connections: 1,
        connectionLimit: 15,
        slots: 2,
      },
    })),
  };
  const freshness: FreshnessLog = Array.from(
    {length: SAMPLE_COUNT},
    (unused, index) => ({
      sentAt: NOW - SAMPLE_COUNT + index,
      end: {term: 1, position: 900 + index},
      proof: 'proven',
    }),
  );
  const request: MemberRequest = {
    access: 'read',
    maxAgeMs: 1_000,
    requirement: {kind: 'at-least', position: {term: 1, position: 950}},
    replicaWaitUntil: NOW,
    avoid: [],
  };
  const policy = new ReplicaFirstPolicy();
  const random = new Random(1);
  return () => policy.choose(request, view, freshness, random, NOW);
}

/** Matches the last workspace and route, the worst case of a linear search. */
function matchRoute(workspaceCount: number, routeCount: number): () => unknown {
  const routes = Array.from({length: routeCount}, (unused, index) => ({
    ...DEFAULT_ROUTE,
    name: `route-${index}`,
    access: 'read' as const,
  }));
  const configuration: Configuration = {
    whenUnconfirmed: 'refuse',
    dataCentres: [],
    backendServers: [],
    databases: Array.from({length: DATABASE_COUNT}, (unused, index) => ({
      name: `d${index}`,
      service: 's',
      members: [],
    })),
    workspaces: Array.from({length: workspaceCount}, (unused, index) => ({
      name: `workspace-${index}`,
      rate: 1,
      burst: 1,
      keys: [{id: 'k', verifier: 'v'}],
      services: ['s'],
    })),
    routes,
  };
  const statement: ParsedStatement = {
    connectionId: '1',
    caller: {
      kind: 'keyed',
      workspace: `workspace-${workspaceCount - 1}`,
      keyId: 'k',
    },
    databaseName: 's',
    sql: 'SELECT 1',
    scope: 'autocommit',
    receivedAt: NOW,
    context: {
      activeConfiguration: {version: 1, hash: 'h', configuration},
      confirmation: 'confirmed',
      lifecycle: 'serving',
    },
    options: {route: `route-${routeCount - 1}`},
    verb: 'query',
    changesData: false,
  };
  const filter = new MatchRouteFilter();
  if (!filter.run(statement).ok) throw new Error('the statement has no route');
  return () => filter.run(statement);
}
