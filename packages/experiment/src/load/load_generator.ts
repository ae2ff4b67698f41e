import {monitorEventLoopDelay, performance} from 'node:perf_hooks';
import {Random, rendezvousOrder} from '@pistachiorill/core';
import {databaseNames} from '@pistachiorill/launcher';
import type {Profile} from '@pistachiorill/launcher';
import type {HistoryEvent} from '../history/history_event.js';
import {AcknowledgedWrites} from './acknowledged_writes.js';
import {LoadSession, CLIENT_TIMEOUT_MS} from './load_session.js';
import type {ClientTarget, SessionDependencies} from './load_session.js';
import {planArrivals} from './plan_arrivals.js';
import type {LoadPlan, PlannedRequest} from './plan_arrivals.js';
import type {RequestRecord} from './request_record.js';

/** The maximum number of concurrent requests of one workspace. */
const SESSIONS_PER_WORKSPACE = 32;

/** The records of one run of the load. */
export interface LoadResult {
  readonly requests: readonly RequestRecord[];
  readonly history: readonly HistoryEvent[];
  /** p99 of the generator's own event loop delay. */
  readonly generatorDelayMs: number;
}

interface WorkspaceLoad {
  readonly free: LoadSession[];
  readonly waiting: PlannedRequest[];
}

/**
 * Sends each request at its planned time, whether earlier ones have ended or
 * not (open loop). Requests without a free session wait in a queue.
 */
export class LoadGenerator {
  private readonly plan: readonly PlannedRequest[];
  private readonly workspaceLoads: ReadonlyMap<string, WorkspaceLoad>;
  private readonly sessions: LoadSession[];
  private readonly requests: RequestRecord[] = [];
  private readonly history: HistoryEvent[] = [];
  private readonly running = new Set<Promise<void>>();
  private readonly databaseOf: (workspace: string) => string;
  private startedAt = 0;
  private lastId = 0;

  constructor(
    profile: Profile,
    plan: LoadPlan,
    targets: () => readonly ClientTarget[],
    seed: number,
  ) {
    const random = new Random(seed);
    this.plan = planArrivals(profile.workspaces, plan, random);
    const names = databaseNames(profile);
    const databaseByWorkspace = new Map(
      profile.workspaces.map(({name}) => [
        name,
        rendezvousOrder(name, names)[0] ?? '',
      ]),
    );
    this.databaseOf = workspace => databaseByWorkspace.get(workspace) ?? '';
    const deps: SessionDependencies = {
      service: profile.service,
      targets,
      random,
      clock: () => this.clock(),
      nextId: () => `${seed}-${(this.lastId += 1)}`,
      record: event => this.history.push(event),
      databaseOf: this.databaseOf,
    };
    const loads = profile.workspaces.map(
      (workspace): [string, WorkspaceLoad] => {
        const acknowledged = new AcknowledgedWrites();
        const free = Array.from(
          {length: SESSIONS_PER_WORKSPACE},
          () => new LoadSession(workspace, acknowledged, deps),
        );
        return [workspace.name, {free, waiting: []}];
      },
    );
    this.workspaceLoads = new Map(loads);
    this.sessions = loads.flatMap(([, load]) => [...load.free]);
  }

  /** Milliseconds since the start of the load. */
  clock(): number {
    return performance.now() - this.startedAt;
  }

  /** Sends all planned requests and waits until they have ended. */
  async run(): Promise<LoadResult> {
    const delay = monitorEventLoopDelay({resolution: 5});
    delay.enable();
    this.startedAt = performance.now();
    for (const request of this.plan) {
      const waitMs = request.plannedAt - this.clock();
      if (waitMs > 1) await sleep(waitMs);
      this.dispatch(request);
    }
    while (this.running.size > 0) await Promise.all(this.running);
    delay.disable();
    for (const session of this.sessions) session.close();
    return {
      requests: this.requests,
      history: this.history,
      generatorDelayMs: delay.percentile(99) / 1e6,
    };
  }

  private dispatch(request: PlannedRequest): void {
    const load = this.workspaceLoads.get(request.workspace);
    if (!load) return;
    const session = load.free.pop();
    if (!session) {
      load.waiting.push(request);
      return;
    }
    const work = this.serve(load, session, request).finally(() => {
      this.running.delete(work);
    });
    this.running.add(work);
  }

  private async serve(
    load: WorkspaceLoad,
    session: LoadSession,
    first: PlannedRequest,
  ): Promise<void> {
    let request: PlannedRequest | undefined = first;
    while (request) {
      const lateMs = this.clock() - request.plannedAt;
      this.requests.push(
        lateMs > CLIENT_TIMEOUT_MS
          ? this.abandoned(request)
          : await session.runRequest(request),
      );
      request = load.waiting.shift();
    }
    load.free.unshift(session);
  }

  /** Returns the record of a request that was not sent in time. */
  private abandoned(request: PlannedRequest): RequestRecord {
    return {
      ...request,
      database: this.databaseOf(request.workspace),
      vm: '',
      endedAt: this.clock(),
      result: 'abandoned',
      reason: 'no free session',
      interruptions: 0,
    };
  }
}

function sleep(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
