import {mkdirSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {Random} from '@pistachiorill/core';
import {findFreePorts} from '@pistachiorill/launcher';
import {
  CONTACT_MS,
  LOOPBACK_HOST,
  SimulatedPlatform,
  READY_PATH,
  WORKSPACES,
  accessKey,
  createHistory,
} from '@pistachiorill/platform/standins';
import type {History} from '@pistachiorill/platform/standins';
import {sleep} from '@pistachiorill/tasks';
import {checkHistory} from './checks/check_history.js';
import type {Violation} from './checks/check_history.js';
import {Caller} from './clients/caller.js';
import {FaultInjector} from './faults/fault_injector.js';
import {planFaults} from './faults/fault_plan.js';
import {VmProcess} from './vm_process.js';

/** The size of a soak run and the program that it tests. */
export interface SoakSettings {
  readonly seed: number;
  /** Length of the part with faults, before the run waits for recovery. */
  readonly lengthMs: number;
  readonly vms: number;
  readonly callers: number;
  /** Path of the bundled gateway. */
  readonly program: string;
  /** Folder for logs and for the history of a run with violations. */
  readonly folder: string;
}

/** The counts and violations of one soak run. */
export interface SoakReport {
  readonly seed: number;
  /** The injected faults, each as start and duration in ms and its kind. */
  readonly faults: readonly string[];
  readonly operations: number;
  readonly served: number;
  readonly promotions: number;
  readonly violations: readonly Violation[];
}

const READY_TIMEOUT_MS = 20_000;
/** The final part of a run, whose operations show whether the VMs recovered. */
const RECOVERY_MS = 1_500;
/** Users require that a quarter of the requests is served after a fault. */
const MIN_SERVED_SHARE = 0.25;

/**
 * Runs gateway processes under load, injects faults, and checks the recorded
 * history. Waits until all faults are over and the VMs had time to recover.
 */
export async function runSoak(settings: SoakSettings): Promise<SoakReport> {
  const {seed, lengthMs} = settings;
  const folder = join(settings.folder, `seed-${seed}`);
  mkdirSync(folder, {recursive: true});
  const clock = (): number => performance.now();
  const history = createHistory();
  const standins = await SimulatedPlatform.start(history, clock);
  const vms = await startVms(settings, standins, folder);
  const injector = new FaultInjector(standins, vms, clock);
  const callers = startCallers(settings, standins, vms, history, clock);
  const faults = planFaults(seed, lengthMs);
  const startedAt = clock();
  try {
    for (const fault of faults) {
      await sleep(Math.max(0, startedAt + fault.atMs - clock()));
      injector.inject(fault);
    }
    await sleep(Math.max(0, startedAt + lengthMs - clock()));
    await injector.waitForAll();
    // Then all VMs are undisturbed, and the checks that need this apply.
    await sleep(CONTACT_MS + RECOVERY_MS);
    for (const {caller} of callers) caller.stop();
    await Promise.all(callers.map(item => item.done));
  } finally {
    await endAll(vms);
    standins.close();
  }
  const violations = checkHistory(history, {
    finalCommits: new Map(
      [...standins.groups].map(([name, group]) => [
        name,
        group.primary()?.received,
      ]),
    ),
    withdrawnAt: withdrawalTimes(standins),
    isUndisturbed: (fromMs, toMs) => injector.isUndisturbed(fromMs, toMs),
    recovery: {
      fromMs: clock() - RECOVERY_MS,
      minServedShare: MIN_SERVED_SHARE,
    },
  });
  if (violations.length > 0) saveHistory(folder, history, violations);
  return {
    seed,
    faults: faults.map(({kind, atMs, forMs}) => `${atMs}+${forMs} ${kind}`),
    operations: history.operations.length,
    served: history.operations.filter(item => item.outcome === 'success')
      .length,
    promotions: history.promotions.length,
    violations,
  };
}

async function startVms(
  {vms, program}: SoakSettings,
  standins: SimulatedPlatform,
  folder: string,
): Promise<readonly VmProcess[]> {
  const started: VmProcess[] = [];
  for (let number = 1; number <= vms; number++) {
    const [callers = 0, readiness = 0, peers = 0, metrics = 0] =
      await findFreePorts(4);
    const ports = {callers, readiness, peers, metrics};
    const paths = await standins.createVmEndpoints();
    const vm = new VmProcess(`vm-${number}`, ports, paths, program, folder);
    vm.start();
    started.push(vm);
  }
  try {
    await waitUntilReady(started);
  } catch (err) {
    await endAll(started);
    throw err;
  }
  return started;
}

async function waitUntilReady(vms: readonly VmProcess[]): Promise<void> {
  const until = performance.now() + READY_TIMEOUT_MS;
  for (const {name, ports} of vms) {
    while (!(await isReady(ports.readiness))) {
      if (performance.now() > until) throw new Error(`${name} is not ready`);
      await sleep(50);
    }
  }
}

/** Ends the processes, also those that are paused. */
async function endAll(vms: readonly VmProcess[]): Promise<void> {
  for (const vm of vms) vm.signal('SIGCONT');
  await Promise.all(vms.map(vm => vm.end('SIGKILL')));
}

function isReady(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const req = get({host: LOOPBACK_HOST, port, path: READY_PATH}, res => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.on('error', () => resolve(false));
  });
}

function startCallers(
  {callers, seed}: SoakSettings,
  standins: SimulatedPlatform,
  vms: readonly VmProcess[],
  history: History,
  clock: () => number,
) {
  return Array.from({length: callers}, (unused, index) => {
    const caller = new Caller({
      name: `c${index}`,
      groups: [...standins.groups.keys()],
      addresses: vms.map(vm => vm.callerAddress),
      random: new Random(seed * 1_000 + index),
      clock,
      history,
    });
    return {caller, done: caller.run()};
  });
}

function withdrawalTimes({
  operators,
}: SimulatedPlatform): ReadonlyMap<string, number> {
  return new Map(
    WORKSPACES.map(name => accessKey(name, 2)).flatMap(key => {
      const at = operators.withdrawnAt(key);
      return at === undefined ? [] : [[key, at] as const];
    }),
  );
}

/** Writes the violations and the full history beside the logs of the VMs. */
function saveHistory(
  folder: string,
  history: History,
  violations: readonly Violation[],
): void {
  const lines = [
    ...violations.map(item => JSON.stringify({violation: item})),
    ...history.promotions.map(item => JSON.stringify({promotion: item})),
    ...history.operations.map(item => JSON.stringify({operation: item})),
    ...history.commits.map(({previous, ...item}) =>
      JSON.stringify({commit: {...item, after: previous?.number ?? 0}}),
    ),
    ...history.executions.map(({sees, ...item}) =>
      JSON.stringify({run: {...item, sees: sees?.number ?? 0}}),
    ),
  ];
  writeFileSync(join(folder, 'history.jsonl'), `${lines.join('\n')}\n`);
}
