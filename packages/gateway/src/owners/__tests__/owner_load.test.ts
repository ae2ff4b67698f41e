import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {Random, ownerTargets, selectOwners} from '@pistachiorill/core';
import type {DatabaseRoute, OwnerTarget} from '@pistachiorill/core';
import {sleep} from '@pistachiorill/tasks';
import {DatabaseTask} from '../../database/database_task.js';
import {PlaceFilter, requirementOf} from '../../session/place_filter.js';
import {RunFilter} from '../../session/run_filter.js';
import {SessionPositions} from '../../session/session_positions.js';
import type {RoutedStatement} from '../../session/session_statement.js';
import {GatewayMetrics} from '../../telemetry/gateway_metrics.js';
import {listedMember, silentLogger} from '../../testing/fake_group.js';
import {FakeOwnerClient} from '../../testing/fake_owner.js';
import type {OwnerEndpoint} from '../../testing/fake_owner.js';
import {SESSION_CONFIGURATION} from '../../testing/fake_session.js';
import {LoadedLinkFactory, LoadedMember} from '../../testing/loaded_member.js';
import {ForwardFilter} from '../forward_filter.js';
import {OwnerCalls} from '../owner_calls.js';
import {OwnerTask} from '../owner_task.js';

const DATA_CENTRES = ['ga-1', 'ga-2', 'ga-3'];
const VM_COUNT = 60;
const CONNECTION_LIMIT = 56;
const SLOTS = 4;
const WORKSPACE_COUNT = 84;
const LOCAL_DELAY_MS = 0.3;
const REMOTE_DELAY_MS = 1.4;
const REQUESTS_PER_SECOND = 400;
const LOAD_MS = 2_500;
const POSITION_INTERVAL_MS = 200;

/** The kinds of request of deployment Q: their shares and work. */
const KINDS = [
  {
    share: 0.15,
    consistency: 'strict',
    workMs: 4.5,
    targetMs: 101,
    deadlineMs: 1_206,
    writes: 0.35,
    transactions: 0.25,
  },
  {
    share: 0.15,
    consistency: 'bounded-age',
    workMs: 22,
    targetMs: 801,
    deadlineMs: 4_003,
    writes: 0,
    transactions: 0,
  },
  {
    share: 0.7,
    consistency: 'own-writes',
    workMs: 14,
    targetMs: 201,
    deadlineMs: 1_203,
    writes: 0.12,
    transactions: 0.12,
  },
] as const;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** A fleet whose VMs run statements directly or at the owners. */
function startFleet(mode: 'direct' | 'owners') {
  const clock = (): number => performance.now();
  const log = silentLogger();
  const metrics = new GatewayMetrics();
  const members = new Map(
    DATA_CENTRES.map((dc, index) => [
      `m${index}`,
      new LoadedMember(dc, SLOTS, CONNECTION_LIMIT),
    ]),
  );
  const listed = [...members].map(([name, {dataCentre}]) =>
    listedMember(name, {dataCentre, slots: SLOTS}),
  );
  const vms = new Map(
    Array.from({length: VM_COUNT}, (unused, index) => [
      `vm-${index}`,
      DATA_CENTRES[index % DATA_CENTRES.length] ?? '',
    ]),
  );
  const byDataCentre = selectOwners(
    'wash',
    new Map([...vms].map(([vm, dataCentre]) => [vm, {dataCentre, weight: 1}])),
  );
  const endpoints = new Map<string, OwnerEndpoint>();
  const tasks: DatabaseTask[] = [];
  const filters = [...vms].map(([vm, dataCentre]) => {
    const delayTo = (to: string | undefined): number =>
      to === dataCentre ? LOCAL_DELAY_MS : REMOTE_DELAY_MS;
    const task = new DatabaseTask('wash', {
      vm: {dataCentre, region: 'ga'},
      regionOf: () => 'ga',
      links: new LoadedLinkFactory(members, delayTo),
      clock,
      primaryLease: () => ({kind: 'granted', primary: 'm0'}),
      requestPositions: () => 'not-sampled',
      onPrimaryUnreachable: () => undefined,
      log,
      onFailed: err => {
        throw err;
      },
    });
    tasks.push(task);
    const isOwner = byDataCentre.get(dataCentre)?.includes(vm) === true;
    task.tell({
      kind: 'view',
      view: {
        settings: {
          name: 'wash',
          connectionLimit: CONNECTION_LIMIT,
          synchronousReplicas: 0,
          warmupPerSecond: 0,
        },
        members: listed,
        dataCentresOut: new Set(),
        vmCount: VM_COUNT,
        owners:
          mode === 'owners'
            ? {
                role: isOwner ? 'owner' : 'other',
                count: [...byDataCentre.values()].flat().length,
                near: dc => ({
                  count: byDataCentre.get(dc)?.length ?? 0,
                  self:
                    isOwner && dc === dataCentre ? 'included' : 'not-included',
                }),
              }
            : undefined,
      },
    });
    const record = {phase: 'settled', primary: 'm0'} as const;
    task.tell({kind: 'leadership', leadership: {record, version: 1}});
    const configuration = () => SESSION_CONFIGURATION;
    const local = new RunFilter({
      place: new PlaceFilter({
        database: () => task,
        configuration: () => undefined,
        clock,
        log,
      }),
      database: () => task,
      clock,
    });
    const owner = new OwnerTask({
      local,
      isReady: () => true,
      mayReadOldCalls: () => false,
      configuration,
      clock,
      log,
      metrics,
      onFailed: err => {
        throw err;
      },
    });
    endpoints.set(vm, {task: owner, mode: 'answers', calls: []});
    const client = new FakeOwnerClient(endpoints, to => delayTo(vms.get(to)));
    const calls = new OwnerCalls({client, clock, log, metrics});
    const targets = (statement: RoutedStatement): readonly OwnerTarget[] =>
      ownerTargets(
        {
          workspace: statement.workspace,
          regions: [],
          need: requirementOf(statement).kind,
        },
        {
          dataCentre,
          regionOf: () => 'ga',
          owners: byDataCentre,
          primaryDataCentre: 'ga-1',
          memberDataCentres: DATA_CENTRES,
        },
        vm,
        to => calls.availabilityOf(to),
      );
    return new ForwardFilter({
      vm,
      incarnation: vm,
      local,
      targets: mode === 'owners' ? targets : () => [],
      calls,
      client,
      configuration: () => undefined,
      clock,
      log,
      metrics,
    });
  });
  return {filters, members, tasks};
}

type Filters = ReturnType<typeof startFleet>['filters'];

/** Sends one request to a random VM; returns how it ended. */
async function request(
  filters: Filters,
  random: Random,
  id: string,
): Promise<string> {
  let pick = random.fraction();
  const kind = KINDS.find(item => (pick -= item.share) < 0) ?? KINDS[0];
  const isTransaction = random.fraction() < kind.transactions;
  const access = random.fraction() < kind.writes ? 'write' : 'read';
  const text = `${access.toUpperCase()} ${kind.workMs}`;
  const command = {kind: 'statement', text} as const;
  const workspace = `w${Math.floor(random.fraction() ** 2 * WORKSPACE_COUNT)}`;
  const filter = filters[random.integer(0, filters.length - 1)];
  const startedAt = performance.now();
  const deadline = startedAt + kind.deadlineMs;
  const route: DatabaseRoute = {
    ...(SESSION_CONFIGURATION.routes.get('wash-db') as DatabaseRoute),
    consistency: kind.consistency,
    maxAgeMs: 1_500,
    targetMs: kind.targetMs,
  };
  const result = await filter?.run({
    id,
    database: 'wash-db',
    key: 'k1',
    receivedAt: startedAt,
    command,
    access,
    begin: isTransaction ? 'write' : undefined,
    values: new Map(),
    positions: new SessionPositions(),
    placementLog: 'off',
    configuration: undefined,
    route,
    workspace,
    caller: 'keyed',
    regions: [],
    deadline,
  });
  let failure = result?.ok ? undefined : result?.err.kind;
  const transaction = result?.ok ? result.value.transaction : undefined;
  for (const next of ['statement', 'commit'] as const) {
    if (!transaction || failure !== undefined) break;
    const ran = await transaction.run({
      id: `${id}-${next}`,
      command: next === 'commit' ? {kind: next} : command,
      access: next === 'commit' ? next : access,
      values: new Map(),
      deadline,
    });
    if (!ran.ok) failure = ran.err.kind;
  }
  if (failure !== undefined) return failure;
  const tookMs = performance.now() - startedAt;
  return tookMs <= kind.targetMs ? 'in time' : 'late';
}

/** Plays the load; returns what callers and members got. */
async function play(mode: 'direct' | 'owners') {
  const {filters, members, tasks} = startFleet(mode);
  const random = new Random(7);
  const outcomes = new Map<string, number>();
  const pending: Array<Promise<void>> = [];
  const send = async (id: string): Promise<void> => {
    const outcome = await request(filters, random, id);
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1);
  };
  const run = async (): Promise<void> => {
    const end = performance.now() + LOAD_MS;
    let sampledAt = -Infinity;
    for (let number = 0; performance.now() < end; number++) {
      const now = performance.now();
      if (now - sampledAt > POSITION_INTERVAL_MS) {
        sampledAt = now;
        const applied = members.get('m0')?.applied;
        if (!applied) throw new Error('no primary');
        const samples = [{askedAt: now, end: applied}];
        for (const task of tasks) task.tell({kind: 'positions', samples});
      }
      pending.push(send(`q${number}`));
      const meanMs = 1_000 / REQUESTS_PER_SECOND;
      await sleep(-Math.log(1 - random.fraction()) * meanMs);
    }
    await Promise.all(pending);
  };
  const running = run();
  await vi.advanceTimersByTimeAsync(LOAD_MS + 5_000);
  await running;
  for (const task of tasks) task.tell({kind: 'close'});
  const all = [...members.values()];
  const sum = (value: (item: LoadedMember) => number): number =>
    all.reduce((total, item) => total + value(item), 0);
  return {
    requests: pending.length,
    inTime: outcomes.get('in time') ?? 0,
    outcomes: Object.fromEntries(outcomes),
    opened: sum(item => item.opened),
    reset: sum(item => item.reset),
    rejected: sum(item => item.rejected),
  };
}

describe('owners under load', () => {
  // Guards against a fleet in which most requests open a connection, which takes
  // longer than their own work.
  it('serves more callers with fewer connections', async () => {
    const direct = await play('direct');
    const owners = await play('owners');
    expect(owners.requests).toBe(direct.requests);
    expect(owners.inTime).toBeGreaterThan(direct.inTime);
    expect(owners.opened).toBeLessThan(direct.opened);
    // The targets of docs/hard-load.md.
    expect(owners.reset).toBeLessThanOrEqual(direct.reset / 20);
    expect(owners.rejected).toBeLessThanOrEqual(direct.rejected / 20);
  });
});
