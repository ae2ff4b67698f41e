import {WORKSPACES} from '@pistachiorill/platform/standins';
import type {
  FaultProxy,
  PlatformWorld,
  ProxyMode,
  StoreMood,
} from '@pistachiorill/platform/standins';
import type {VmProcess} from '../vm_process.js';
import type {Fault, FaultKind} from './fault_plan.js';

const BEHIND_LAG_MS = 3_000;
const USUAL_LAG_MS = 20;
/** A member that leaves serves until this long after it said so. */
const DRAIN_MS = 7_000;
const CONFIGURATION_GAP_MS = 150;

/** Ends a fault. */
type Undo = () => void | Promise<void>;

/** Faults that keep VMs from what they must know, or stop them. */
const DISTURBING: ReadonlySet<FaultKind> = new Set([
  'vm-killed',
  'vm-paused',
  'vm-stopped',
  'all-vms-killed',
  'store-unavailable',
  'store-silent',
  'store-slow',
  'store-loses-answers',
  'store-cut-from-vm',
  'connections-reset',
]);

/** Causes faults in a running world, each from outside of the programs. */
export class FaultInjector {
  /** When faults disturbed VMs or the store. */
  private readonly disturbed: Array<{fromMs: number; toMs: number}> = [];
  private readonly pending = new Set<Promise<void>>();

  constructor(
    private readonly world: PlatformWorld,
    private readonly vms: readonly VmProcess[],
    private readonly clock: () => number,
  ) {}

  /** Begins a fault and ends it after its time. */
  inject(fault: Fault): void {
    const running = this.run(fault);
    this.pending.add(running);
    void running.finally(() => this.pending.delete(running));
  }

  async untilOver(): Promise<void> {
    await Promise.all(this.pending);
  }

  isCalm(fromMs: number, toMs: number): boolean {
    return this.disturbed.every(
      span => span.toMs < fromMs || span.fromMs > toMs,
    );
  }

  private async run(fault: Fault): Promise<void> {
    const span = {fromMs: this.clock(), toMs: Infinity};
    if (DISTURBING.has(fault.kind)) this.disturbed.push(span);
    const undo = await this.begin(fault);
    await new Promise(resolve => setTimeout(resolve, fault.forMs));
    await undo();
    span.toMs = this.clock();
  }

  private async begin({kind, forMs, target}: Fault): Promise<Undo> {
    const vm = pick(this.vms, target);
    const member = pick(this.world.memberNames, target >> 4);
    const group = pick([...this.world.groups.keys()], target >> 2);
    const toMember = vm.paths.memberProxies.get(member);
    switch (kind) {
      case 'vm-killed':
        await vm.end('SIGKILL');
        return () => vm.start();
      case 'vm-stopped':
        await vm.end('SIGTERM');
        return () => vm.start();
      case 'vm-paused':
        vm.signal('SIGSTOP');
        return () => vm.signal('SIGCONT');
      case 'all-vms-killed':
        await Promise.all(this.vms.map(item => item.end('SIGKILL')));
        return () => this.vms.forEach(item => item.start());
      case 'store-unavailable':
        return this.storeMood('unavailable');
      case 'store-silent':
        return this.storeMood('silent');
      case 'store-slow':
        return this.storeMood('slow');
      case 'store-loses-answers':
        return this.storeMood('loses-answers');
      case 'store-cut-from-vm':
        return proxyMode(vm.paths.storeProxy, 'silent');
      case 'orders-lose-answers':
        this.world.orders.mood = 'loses-answers';
        return () => {
          this.world.orders.mood = 'answers';
        };
      case 'member-cut-from-vm':
        return proxyMode(toMember, 'silent');
      case 'member-cut-one-way':
        return proxyMode(
          toMember,
          target % 2 === 0 ? 'silent-forward' : 'silent-back',
        );
      case 'member-delayed':
        return proxyMode(toMember, 'delayed');
      case 'connections-reset':
        for (const proxy of vm.paths.memberProxies.values()) proxy.reset();
        vm.paths.storeProxy.reset();
        return () => undefined;
      case 'primary-dark':
        return this.takeDown(this.world.primaryOf(group) ?? member, 'dark');
      case 'member-crashed':
        return this.takeDown(member, 'crashed');
      case 'replicas-behind':
        this.world.setLag(member, BEHIND_LAG_MS);
        return () => this.world.setLag(member, USUAL_LAG_MS);
      case 'primary-leaves':
        return this.leave(this.world.primaryOf(group) ?? member);
      case 'key-withdrawn':
        this.world.operators.withdraw(pick(WORKSPACES, target));
        return () => undefined;
      case 'configurations':
        return this.changeConfiguration(forMs);
    }
  }

  private storeMood(mood: StoreMood): Undo {
    for (const {paths} of this.vms) paths.store.mood = mood;
    return () => {
      for (const {paths} of this.vms) paths.store.mood = 'answers';
    };
  }

  private takeDown(name: string, how: 'dark' | 'crashed'): Undo {
    this.world.takeDown(name, how);
    return () => this.world.bringBack(name);
  }

  /** The member says that it leaves, serves on for a while, and starts anew. */
  private leave(name: string): Undo {
    this.world.setListing(name, 'draining');
    return async () => {
      await new Promise(resolve => setTimeout(resolve, DRAIN_MS));
      this.world.takeDown(name, 'crashed');
      this.world.setListing(name, 'ready');
      this.world.bringBack(name);
    };
  }

  private changeConfiguration(forMs: number): Undo {
    const timer = setInterval(
      () => this.world.operators.changeLimits(),
      CONFIGURATION_GAP_MS,
    );
    setTimeout(() => clearInterval(timer), forMs);
    return () => clearInterval(timer);
  }
}

function proxyMode(proxy: FaultProxy | undefined, mode: ProxyMode): Undo {
  proxy?.setMode(mode);
  return () => proxy?.setMode('open');
}

function pick<T>(items: readonly T[], target: number): T {
  return items[Math.abs(target) % items.length] as T;
}
