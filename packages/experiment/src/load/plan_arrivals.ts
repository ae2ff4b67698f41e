import type {Random} from '@pistachiorill/core';
import type {WorkspaceProfile} from '@pistachiorill/launcher';
import {REQUEST_MIX} from './request_kind.js';
import type {RequestKind} from './request_kind.js';

/** A request that a client sends at a planned time. */
export interface PlannedRequest {
  readonly workspace: string;
  readonly kind: RequestKind;
  /** Milliseconds after the start of the load. */
  readonly plannedAt: number;
  /** Whether a token bucket of the whole fleet would admit the request. */
  readonly rate: 'within' | 'beyond';
}

/** The duration and intensity of the load. */
export interface LoadPlan {
  readonly durationMs: number;
  /** Offered statements as a share of each workspace's rate. */
  readonly load: number;
  /** Multiples of `load`, by workspace; the others have the factor 1. */
  readonly factors: ReadonlyMap<string, number>;
}

const KINDS = Object.entries(REQUEST_MIX) as Array<
  [RequestKind, (typeof REQUEST_MIX)[RequestKind]]
>;

const STATEMENTS_PER_REQUEST =
  KINDS.reduce((sum, [, shape]) => sum + shape.weight * shape.statements, 0) /
  100;

/**
 * Plans Poisson arrivals for each workspace. The times do not depend on the
 * responses, so a slow response delays no later request (open loop).
 */
export function planArrivals(
  workspaces: readonly WorkspaceProfile[],
  plan: LoadPlan,
  random: Random,
): PlannedRequest[] {
  return workspaces
    .flatMap(workspace => planWorkspace(workspace, plan, random))
    .sort((a, b) => a.plannedAt - b.plannedAt);
}

function planWorkspace(
  workspace: WorkspaceProfile,
  plan: LoadPlan,
  random: Random,
): PlannedRequest[] {
  const factor = plan.factors.get(workspace.name) ?? 1;
  const requestsPerMs =
    (workspace.rate * plan.load * factor) / STATEMENTS_PER_REQUEST / 1_000;
  const planned: PlannedRequest[] = [];
  let tokens = 0;
  let at = 0;
  for (;;) {
    const gapMs = -Math.log(1 - random.fraction()) / requestsPerMs;
    at += gapMs;
    if (at >= plan.durationMs) return planned;
    const kind = pickKind(random);
    const cost = REQUEST_MIX[kind].statements;
    tokens = Math.min(
      workspace.burst,
      tokens + (gapMs * workspace.rate) / 1_000,
    );
    const rate = tokens >= cost ? 'within' : 'beyond';
    if (rate === 'within') tokens -= cost;
    planned.push({workspace: workspace.name, kind, plannedAt: at, rate});
  }
}

function pickKind(random: Random): RequestKind {
  let rest = random.integer(0, 99);
  for (const [kind, shape] of KINDS) {
    if (rest < shape.weight) return kind;
    rest -= shape.weight;
  }
  return 'stale-read';
}
