import {mkdirSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {Random} from '@pistachiorill/core';
import {findFreePorts} from '@pistachiorill/launcher';
import {
  CONTACT_MS,
  KEYS_PER_WORKSPACE,
  LOOPBACK_HOST,
  MAX_WITHDRAWAL_DELAY_MS,
  MIN_STATEMENT_TIMEOUT_MS,
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
import {checkLines} from './checks/check_lines.js';
import {checkLost} from './checks/check_lost.js';
import {checkPromotions} from './checks/check_promotions.js';
import type {LostContext, Stall} from './checks/check_lost.js';
import {checkUsage, summarizeUsage} from './checks/check_usage.js';
import type {UsageSummary} from './checks/check_usage.js';
import {Caller} from './clients/caller.js';
import {HOLDING_PACES, RoamingPace} from './clients/caller_pace.js';
import type {CallerPace} from './clients/caller_pace.js';
import {FaultInjector} from './faults/fault_injector.js';
import {planFaults} from './faults/fault_plan.js';
import type {Plan} from './faults/fault_plan.js';
import {FaultRecord} from './faults/fault_record.js';
import {MemoryWatch} from './memory_watch.js';
import {StallMonitor} from './stall_monitor.js';
import {
  GRACE_MS,
  USAGE_LEASE_MS,
  USAGE_WINDOW_MS,
  VmProcess,
} from './vm_process.js';

/** The size of a soak run and the program that it tests. */
export interface SoakSettings {
  readonly seed: number;
  readonly plan: Plan;
  /** Length of the part with faults, before the run waits for recovery. */
  readonly lengthMs: number;
  readonly vms: number;
  /** Callers that leave their sessions after some operations. */
  readonly callers: number;
  /** Callers that keep their sessions until the process is gone. */
  readonly holders: number;
  /** The run fails when its processes need more memory together. */
  readonly maxMemoryMb: number;
  /** Path of the bundled gateway. */
  readonly program: string;
  /** Folder for logs and for the history of a run that is to be traced. */
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
  /** Requests whose connection ended without an answer, allowed or not. */
  readonly cut: number;
  /** How often a VM asked a caller to close. */
  readonly closeRequests: number;
  /** Processes that SIGKILL ended at the end of the grace period. */
  readonly overdueStops: number;
  /** The windows of usage reports that arrived. */
  readonly usage: UsageSummary;
  readonly peakMemoryMb: number;
  /** The time in which this process did not run. */
  readonly stalledMs: number;
  readonly violations: readonly Violation[];
}

const READY_TIMEOUT_MS = 20_000;
/** The part of a run whose operations show whether the VMs recovered. */
const RECOVERY_MS = 1_500;
/** The store of the stand-ins stalls with this process, and is then slow. */
const SLOW_STORE_MS = 250;
/** Separates the random numbers of the callers that hold sessions. */
const HOLDERS_SEED = 3_000_017;
/** Reports that arrive this soon after a VM was paused or cut off do not count. */
const THAW_SLACK_MS = 300;
/** Users require that a quarter of the requests is served after a fault. */
const MIN_SERVED_SHARE = 0.25;

/**
 * Runs gateway processes under load, injects faults, and checks the recorded
 * history. Waits until all faults are over and the VMs had time to recover.
 */
export async function runSoak(settings: SoakSettings): Promise<SoakReport> {
  const {seed, lengthMs, plan} = settings;
  const folder = join(settings.folder, `seed-${seed}`);
  mkdirSync(folder, {recursive: true});
  const clock = (): number => performance.now();
  const history = createHistory();
  const standins = await SimulatedPlatform.start(
    history,
    clock,
    plan === 'expired' ? 1 : 0,
  );
  const vms = await startVms(settings, standins, folder);
  const record = new FaultRecord(clock);
  const injector = new FaultInjector(standins, vms, record, clock);
  const stallMonitor = new StallMonitor(clock);
  const memoryWatch = new MemoryWatch(vms);
  const callers = startCallers(settings, standins, vms, history, clock);
  const faults = planFaults(seed, lengthMs, plan);
  const startedAt = clock();
  const recovery = {fromMs: Infinity, minServedShare: MIN_SERVED_SHARE};
  try {
    for (const fault of faults) {
      await sleep(Math.max(0, startedAt + fault.atMs - clock()));
      memoryWatch.assertBelow(settings.maxMemoryMb);
      injector.inject(fault);
    }
    await sleep(Math.max(0, startedAt + lengthMs - clock()));
    await injector.waitForAll();
    // Then all VMs are undisturbed, and the checks that need this apply.
    await stallMonitor.sleepRunning(CONTACT_MS);
    recovery.fromMs = clock();
    await stallMonitor.sleepRunning(RECOVERY_MS);
    for (const {caller} of callers) caller.stop();
    await Promise.all(callers.map(item => item.done));
  } finally {
    for (const {caller} of callers) caller.stop();
    await endAll(vms);
    standins.close();
    stallMonitor.stop();
    memoryWatch.stop();
  }
  const vmAt = (address: string): string =>
    vms.find(vm => vm.callerAddress === address)?.name ?? '';
  const lostContext: LostContext = {
    vmAt,
    plannedWork: record.plannedWork,
    isDisrupted: (vm, fromMs, toMs) => record.isDisrupted(vm, fromMs, toMs),
    stalls: stallMonitor.stalls,
    graceMs: GRACE_MS,
    statementTimeoutMs: MIN_STATEMENT_TIMEOUT_MS,
    applyMs: MAX_WITHDRAWAL_DELAY_MS,
    contactMs: CONTACT_MS,
  };
  const otherViolations = checkHistory(history, {
    finalCommits: new Map(
      [...standins.groups].map(([name, group]) => [
        name,
        group.primary()?.received,
      ]),
    ),
    withdrawnAt: withdrawalTimes(standins),
    isUndisturbed: (address, fromMs, toMs) =>
      record.isUndisturbed(vmAt(address), fromMs, toMs) &&
      !stallMonitor.hasStall(fromMs, toMs, SLOW_STORE_MS),
    recovery,
  });
  const violations = [
    ...otherViolations,
    ...checkLost(history, lostContext),
    ...(plan === 'expired' ? checkPromotions(history) : []),
    ...checkLines(history, vmAt),
    ...checkUsage(history, {
      leaseMs: USAGE_LEASE_MS,
      isExcused: ({holder, at}) =>
        record.isDisrupted(holder, at - THAW_SLACK_MS, at) ||
        stallMonitor.hasStall(at - THAW_SLACK_MS, at, THAW_SLACK_MS),
    }),
    ...unexpectedExits(vms),
  ];
  const cut = history.exchanges.filter(item => item.end === 'cut').length;
  const overdueStops = vms.reduce((sum, vm) => sum + vm.overdueStops, 0);
  if (violations.length + cut + overdueStops > 0) {
    saveHistory(folder, history, record, stallMonitor.stalls, violations);
  }
  return {
    seed,
    faults: faults.map(({kind, atMs, forMs}) => `${atMs}+${forMs} ${kind}`),
    operations: history.operations.length,
    served: history.operations.filter(item => item.outcome === 'success')
      .length,
    promotions: history.promotions.length,
    cut,
    closeRequests: history.irregularLines.filter(
      item => item.kind === 'close-request',
    ).length,
    overdueStops,
    usage: summarizeUsage(history, USAGE_WINDOW_MS),
    peakMemoryMb: memoryWatch.peakMb,
    stalledMs: stallMonitor.stalledMs,
    violations,
  };
}

function unexpectedExits(vms: readonly VmProcess[]): readonly Violation[] {
  return vms.flatMap(vm =>
    vm.unexpectedExits.map(exit => ({
      promise: 'process-ended' as const,
      detail: `${vm.name}: ${exit}`,
    })),
  );
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
  {callers, holders, seed}: SoakSettings,
  standins: SimulatedPlatform,
  vms: readonly VmProcess[],
  history: History,
  clock: () => number,
) {
  const start = (name: string, randomSeed: number, pace: CallerPace) => {
    const caller = new Caller({
      name,
      pace,
      groups: [...standins.groups.keys()],
      addresses: vms.map(vm => vm.callerAddress),
      random: new Random(randomSeed),
      clock,
      history,
    });
    return {caller, done: caller.run()};
  };
  const roaming = new RoamingPace();
  return [
    ...Array.from({length: callers}, (unused, index) =>
      start(`c${index}`, seed * 1_000 + index, roaming),
    ),
    ...Array.from({length: holders}, (unused, index) =>
      start(
        `h${index}`,
        HOLDERS_SEED + seed * 1_000 + index,
        HOLDING_PACES[index % HOLDING_PACES.length] ?? roaming,
      ),
    ),
  ];
}

function withdrawalTimes({
  operators,
}: SimulatedPlatform): ReadonlyMap<string, number> {
  return new Map(
    WORKSPACES.flatMap(name =>
      Array.from({length: KEYS_PER_WORKSPACE}, (unused, index) =>
        accessKey(name, index + 1),
      ),
    ).flatMap(key => {
      const at = operators.withdrawnAt(key);
      return at === undefined ? [] : [[key, at] as const];
    }),
  );
}

/** Writes the violations and the full history beside the logs of the VMs. */
function saveHistory(
  folder: string,
  history: History,
  record: FaultRecord,
  stalls: readonly Stall[],
  violations: readonly Violation[],
): void {
  const lines = [
    ...violations.map(item => JSON.stringify({violation: item})),
    ...stalls.map(item => JSON.stringify({stall: item})),
    ...record.plannedWork.map(item => JSON.stringify({plannedWork: item})),
    ...history.exchanges
      .filter(item => item.end !== 'answered')
      .map(item => JSON.stringify({unanswered: item})),
    ...history.irregularLines.map(item => JSON.stringify({line: item})),
    ...history.memberRequests.map(item => JSON.stringify({received: item})),
    ...history.promotions.map(({log, ...item}) =>
      JSON.stringify({promotion: {...item, ends: log?.number ?? 0}}),
    ),
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
