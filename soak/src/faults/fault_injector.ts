import {Random} from '@pistachiorill/core';
import {MAX_STALENESS_MS} from '@pistachiorill/platform/standins';
import type {
  FaultProxy,
  SimulatedPlatform,
  ProxyMode,
  StoreFaultMode,
} from '@pistachiorill/platform/standins';
import {sleep} from '@pistachiorill/tasks';
import type {VmProcess} from '../vm_process.js';
import type {Fault, FaultKind} from './fault_plan.js';
import type {FaultRecord} from './fault_record.js';
import {PlannedWorkInjector, isPlannedKind} from './planned_work_injector.js';

const BEHIND_LAG_MS = 3_000;
/** Replicas that lag less than a route allows still serve its reads. */
const TOLERATED_LAG_MS = 0.8 * MAX_STALENESS_MS;
const USUAL_LAG_MS = 20;
/** How long a draining member still serves after its announcement. */
const DRAIN_MS = 7_000;
/** How old the state is that a store without history starts to answer from. */
const STALE_READ_AGE_MS = 1_000;
/** How old the copy is to which the store goes back, and how long it is away. */
const COPY_AGE_MS = 2_000;
const STORE_AWAY_MS = 1_000;
/** When the operators and members write again what the store lost. */
const REWRITE_MS = 1_000;
/** Members' entries are back this long after an outage; heartbeats add 0.5 s. */
const MAX_ENTRY_DELAY_MS = 1_500;
/** From the start of a VM until it has read the store, if that answers. */
const START_MS = 600;
/** A stopped replica receives commits again this long after the outage. */
const STOPPED_AFTER_OUTAGE_MS = 4_000;

/** Ends a fault. */
type Undo = () => void | Promise<void>;

/**
 * Faults that stop or pause VMs or delay their updates from the store. They count
 * for all VMs, not only for the one that they affect.
 */
const DISTURBING_KINDS: ReadonlySet<FaultKind> = new Set([
  'vm-killed',
  'vm-paused',
  'all-vms-killed',
  'store-unavailable',
  'store-silent',
  'store-slow',
  'store-loses-answers',
  'store-writes-late',
  'store-cut-from-vm',
  'connections-reset',
  'store-connections-silent',
  'store-behind',
  'store-restored',
  'entries-expired',
]);
/** Changes that operators make, which harm nothing. */
const OPERATORS_KINDS: ReadonlySet<FaultKind> = new Set([
  'key-withdrawn',
  'configurations',
]);

/** Injects faults into running processes and stand-ins from the outside. */
export class FaultInjector {
  private readonly pending = new Set<Promise<void>>();
  private readonly plannedWork: PlannedWorkInjector;
  /** The outages under way in which members' entries expire. */
  private expiries = 0;

  constructor(
    private readonly standins: SimulatedPlatform,
    private readonly vms: readonly VmProcess[],
    private readonly record: FaultRecord,
    clock: () => number,
  ) {
    const {operators} = standins;
    this.plannedWork = new PlannedWorkInjector(operators, vms, record, clock);
  }

  /** Starts a fault and ends it after its duration. */
  inject(fault: Fault): void {
    const running = this.run(fault);
    this.pending.add(running);
    void running.finally(() => this.pending.delete(running));
  }

  /** Waits until all injected faults have ended. */
  async waitForAll(): Promise<void> {
    await Promise.all(this.pending);
  }

  private async run(fault: Fault): Promise<void> {
    if (isPlannedKind(fault.kind)) {
      return this.plannedWork.run({...fault, kind: fault.kind});
    }
    const end = this.recordEffect(fault);
    const undo = await this.begin(fault);
    await new Promise(resolve => setTimeout(resolve, fault.forMs));
    await undo();
    end();
  }

  private recordEffect({kind, target}: Fault): () => void {
    const {record} = this;
    const vm = [pick(this.vms, target).name];
    if (OPERATORS_KINDS.has(kind)) return () => undefined;
    if (kind === 'vm-stopped') return record.begin('stops', vm);
    return DISTURBING_KINDS.has(kind)
      ? record.begin('disturbs')
      : record.begin('harms');
  }

  private async begin({kind, forMs, target}: Fault): Promise<Undo> {
    const vm = pick(this.vms, target);
    const member = pick(this.standins.memberNames, target >> 4);
    const group = pick([...this.standins.groups.keys()], target >> 2);
    const memberProxy = vm.paths.memberProxies.get(member);
    switch (kind) {
      case 'vm-killed':
        await vm.end('SIGKILL');
        return () => vm.start();
      case 'vm-stopped':
        this.record.signalled('sigterm', vm.name);
        await vm.end('SIGTERM');
        return () => vm.start();
      case 'vm-paused':
        vm.signal('SIGSTOP');
        return () => vm.signal('SIGCONT');
      case 'all-vms-killed':
        await Promise.all(this.vms.map(item => item.end('SIGKILL')));
        return () => this.vms.forEach(item => item.start());
      case 'store-unavailable':
        return this.setStoreFaultMode('unavailable');
      case 'store-silent':
        return this.setStoreFaultMode('silent');
      case 'store-slow':
        return this.setStoreFaultMode('slow');
      case 'store-loses-answers':
        return this.setStoreFaultMode('loses-answers');
      case 'store-writes-late':
        return this.setStoreFaultMode('writes-late');
      case 'store-cut-from-vm':
        return setProxyMode(vm.paths.storeProxy, 'silent');
      case 'store-connections-silent':
        for (const {paths} of this.vms) paths.storeProxy.silence();
        this.plannedWork.withdraw(target);
        return () => undefined;
      case 'store-behind':
        return this.loseHistory(target);
      case 'store-restored':
        return this.restoreStore(target);
      case 'entries-expired':
        return this.expireEntries(vm, group, target);
      case 'orders-lose-answers':
        this.standins.orders.faultMode = 'loses-answers';
        return () => {
          this.standins.orders.faultMode = 'answers';
        };
      case 'member-cut-from-vm':
        return setProxyMode(memberProxy, 'silent');
      case 'member-cut-one-way':
        return setProxyMode(
          memberProxy,
          target % 2 === 0 ? 'silent-forward' : 'silent-back',
        );
      case 'member-delayed':
        return setProxyMode(memberProxy, 'delayed');
      case 'connections-reset':
        for (const proxy of vm.paths.memberProxies.values()) proxy.reset();
        vm.paths.storeProxy.reset();
        return () => undefined;
      case 'primary-dark':
        return this.takeDown(this.standins.primaryOf(group) ?? member, 'dark');
      case 'member-crashed':
        return this.takeDown(member, 'crashed');
      case 'replicas-behind':
        this.standins.setLag(member, BEHIND_LAG_MS);
        return () => this.standins.setLag(member, USUAL_LAG_MS);
      case 'primary-leaves':
        return this.drainAndRestart(this.standins.primaryOf(group) ?? member);
      case 'key-withdrawn':
        this.plannedWork.withdraw(target);
        return () => undefined;
      case 'configurations':
        void this.plannedWork.changeLimits(forMs);
        return () => undefined;
      case 'routes-moved':
        void this.plannedWork.moveRoutes(target, forMs);
        return this.delayReplicas();
      default:
        throw new Error(`${kind} is planned work`);
    }
  }

  private setStoreFaultMode(faultMode: StoreFaultMode): Undo {
    for (const {paths} of this.vms) paths.store.faultMode = faultMode;
    return () => {
      for (const {paths} of this.vms) paths.store.faultMode = 'answers';
    };
  }

  /**
   * Loses the history of the store after a key was withdrawn, and answers reads
   * from the state before.
   */
  private async loseHistory(target: number): Promise<Undo> {
    const stale = this.standins.table.copy();
    this.plannedWork.withdraw(target);
    await new Promise(resolve => setTimeout(resolve, STALE_READ_AGE_MS));
    for (const {paths} of this.vms) paths.store.staleTable = stale;
    return () => {
      for (const {paths} of this.vms) paths.store.staleTable = undefined;
    };
  }

  /** Takes the store back to a copy from before a key was withdrawn. */
  private async restoreStore(target: number): Promise<Undo> {
    const copy = this.standins.table.copy();
    this.plannedWork.withdraw(target);
    await sleep(COPY_AGE_MS);
    const endAbsence = this.setStoreFaultMode('unavailable');
    await sleep(STORE_AWAY_MS);
    this.standins.restoreStore(copy, REWRITE_MS);
    await endAbsence();
    return () => sleep(REWRITE_MS);
  }

  /**
   * Takes the store down until the members' entries have expired. A VM starts
   * meanwhile, and a replica receives nothing, whose entry is back first.
   */
  private async expireEntries(
    vm: VmProcess,
    group: string,
    target: number,
  ): Promise<Undo> {
    const {standins} = this;
    const random = new Random(target);
    const stopped = pick(standins.replicasOf(group), target);
    this.expiries++;
    const endOutage = this.setStoreFaultMode('unavailable');
    standins.expireEntries();
    standins.setReplication(stopped, 'stopped');
    await vm.end('SIGKILL');
    vm.start();
    await sleep(START_MS);
    return async () => {
      // Outages that overlap end together, as entries are back two seconds later.
      if (--this.expiries === 0) {
        standins.writeEntriesAgain(name =>
          name === stopped ? 0 : random.integer(0, MAX_ENTRY_DELAY_MS),
        );
        await endOutage();
      }
      await sleep(STOPPED_AFTER_OUTAGE_MS);
      standins.setReplication(stopped, 'running');
    };
  }

  /** Lets all members apply commits later, so that reads can miss some. */
  private delayReplicas(): Undo {
    const {standins} = this;
    const {memberNames} = standins;
    for (const name of memberNames) standins.setLag(name, TOLERATED_LAG_MS);
    return () => {
      for (const name of memberNames) standins.setLag(name, USUAL_LAG_MS);
    };
  }

  private takeDown(name: string, how: 'dark' | 'crashed'): Undo {
    this.standins.failMember(name, how);
    return () => this.standins.recoverMember(name);
  }

  /** Lists the member as draining; after the drain it crashes and restarts. */
  private drainAndRestart(name: string): Undo {
    this.standins.setReportedState(name, 'draining');
    return async () => {
      await new Promise(resolve => setTimeout(resolve, DRAIN_MS));
      this.standins.failMember(name, 'crashed');
      this.standins.setReportedState(name, 'ready');
      this.standins.recoverMember(name);
    };
  }
}

function setProxyMode(proxy: FaultProxy | undefined, mode: ProxyMode): Undo {
  proxy?.setMode(mode);
  return () => proxy?.setMode('open');
}

function pick<T>(items: readonly T[], target: number): T {
  return items[Math.abs(target) % items.length] as T;
}
