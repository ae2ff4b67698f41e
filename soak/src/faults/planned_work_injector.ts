import {spawn} from 'node:child_process';
import {Random} from '@pistachiorill/core';
import {KEYS_PER_WORKSPACE, WORKSPACES} from '@pistachiorill/platform/standins';
import type {SimulatedPlatform} from '@pistachiorill/platform/standins';
import {sleep} from '@pistachiorill/tasks';
import {GRACE_MS} from '../vm_process.js';
import type {VmProcess} from '../vm_process.js';
import {PLANNED_KINDS} from './fault_plan.js';
import type {Fault, FaultKind, PlannedKind} from './fault_plan.js';
import type {FaultRecord} from './fault_record.js';

const CONFIGURATION_GAP_MS = 150;
/** Routes move back while replicas still lack what sessions wrote before. */
const MAX_MOVE_GAP_MS = 300;
/** Shorter than a drain, so that the VMs of a rolling restart overlap. */
const MAX_ROLLING_GAP_MS = 2_000;
const RELOADS = 5;
const WITHDRAWALS = 3;
/** From the start of a process until it serves on a busy machine. */
const START_MS = 1_200;
/** Processes that take processor time from the VMs. */
const BUSY_PROCESSES = 2;

/** Whether a kind of fault is planned work. */
export function isPlannedKind(kind: FaultKind): kind is PlannedKind {
  return PLANNED_KINDS.some(item => item === kind);
}

/** Sends signals to processes and changes configurations, in series. */
export class PlannedWorkInjector {
  constructor(
    private readonly operators: SimulatedPlatform['operators'],
    private readonly vms: readonly VmProcess[],
    private readonly record: FaultRecord,
    private readonly clock: () => number,
  ) {}

  /** Does the planned work and waits until its VMs have been started again. */
  async run(fault: Fault & {readonly kind: PlannedKind}): Promise<void> {
    const {kind, forMs, target} = fault;
    const vm = this.vms[target % this.vms.length];
    const random = new Random(target);
    if (!vm) return;
    switch (kind) {
      case 'signalled-twice':
        return this.restart(vm, () => this.signalAgain(vm, random));
      case 'reloads-in-drain':
        return this.restart(vm, () => this.reload(vm, random, GRACE_MS));
      case 'reloads-in-start':
        await this.restart(vm);
        return this.reload(vm, random, START_MS);
      case 'rolling-restart':
        return this.restartAll(random);
      case 'changes-in-drain':
        return this.restart(vm, () => this.change(random));
      case 'stopped-in-start':
        await this.restart(vm);
        await sleep(random.integer(0, START_MS));
        return this.restart(vm);
      case 'processor-shared':
        return shareProcessor(forMs);
    }
  }

  /** Withdraws a key of a workspace; both follow from the number. */
  withdraw(target: number, number?: number): void {
    const sentMs = this.clock();
    this.operators.withdraw(
      WORKSPACES[target % WORKSPACES.length] ?? WORKSPACES[0],
      number,
    );
    this.record.configured(sentMs);
  }

  /** Writes configurations one after another for the given time. */
  async changeLimits(forMs: number): Promise<void> {
    const untilMs = this.clock() + forMs;
    while (this.clock() < untilMs) {
      await sleep(CONFIGURATION_GAP_MS);
      const sentMs = this.clock();
      this.operators.changeLimits();
      this.record.configured(sentMs);
    }
  }

  /** Moves routes to other groups and back, again and again. */
  async moveRoutes(target: number, forMs: number): Promise<void> {
    const random = new Random(target);
    const untilMs = this.clock() + forMs;
    while (this.clock() < untilMs) {
      const sentMs = this.clock();
      this.operators.moveRoutes();
      this.record.configured(sentMs);
      await sleep(random.integer(0, MAX_MOVE_GAP_MS));
    }
  }

  /** Stops and starts a VM; `during` runs from the SIGTERM on. */
  private async restart(
    vm: VmProcess,
    during: () => Promise<void> = async () => undefined,
  ): Promise<void> {
    const end = this.record.begin('stops', [vm.name]);
    this.record.signalled('sigterm', vm.name);
    await Promise.all([vm.stop(), during()]);
    vm.start();
    end();
  }

  private async restartAll(random: Random): Promise<void> {
    const restarts: Array<Promise<void>> = [];
    for (const vm of this.vms) {
      restarts.push(this.restart(vm));
      await sleep(random.integer(0, MAX_ROLLING_GAP_MS));
    }
    await Promise.all(restarts);
  }

  /** Sends another signal during the drain, but none to a newer process. */
  private async signalAgain(vm: VmProcess, random: Random): Promise<void> {
    const {pid} = vm;
    await sleep(random.integer(0, GRACE_MS));
    if (vm.pid !== pid) return;
    this.record.signalled('second-signal', vm.name);
    vm.signal(random.pick(['SIGTERM', 'SIGINT']) ?? 'SIGINT');
  }

  private async reload(
    vm: VmProcess,
    random: Random,
    withinMs: number,
  ): Promise<void> {
    for (let i = 0; i < RELOADS; i++) {
      await sleep(random.integer(0, (2 * withinMs) / RELOADS));
      this.record.signalled('sighup', vm.name);
      vm.reload();
    }
  }

  private async change(random: Random): Promise<void> {
    const changing = this.changeLimits(GRACE_MS);
    for (let i = 0; i < WITHDRAWALS; i++) {
      await sleep(random.integer(0, (2 * GRACE_MS) / WITHDRAWALS));
      const number = random.integer(2, KEYS_PER_WORKSPACE);
      this.withdraw(random.integer(0, WORKSPACES.length - 1), number);
    }
    await changing;
  }
}

/** Runs processes that use up processors, and ends them by their ids. */
async function shareProcessor(forMs: number): Promise<void> {
  const busy = Array.from({length: BUSY_PROCESSES}, () =>
    // The loop ends by itself, so that no process outlives a run that is killed.
    spawn(
      process.execPath,
      ['-e', `const end = Date.now() + ${forMs}; while (Date.now() < end);`],
      {stdio: 'ignore'},
    ),
  );
  await sleep(forMs);
  for (const child of busy) child.kill('SIGKILL');
}
