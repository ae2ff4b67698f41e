import type {PlannedWork} from '../checks/check_lost.js';

/** How a fault bears on the checks. */
export type FaultNature =
  /** Stops or pauses VMs, or delays their updates from the store. */
  | 'disturbs'
  /** Harms a VM's links or members, but not its updates from the store. */
  | 'harms'
  /** Planned work that stops VMs. */
  | 'stops';

type VmSignal = Exclude<PlannedWork['kind'], 'configuration'>;

/** The effect of a fault from its start to its end. */
interface Effect {
  readonly nature: FaultNature;
  /** The names of the affected VMs; undefined for all. */
  readonly vms: readonly string[] | undefined;
  readonly fromMs: number;
  toMs: number;
}

/** Records what was done to which VM and when, for the checks. */
export class FaultRecord {
  private readonly effects: Effect[] = [];
  private readonly work: PlannedWork[] = [];

  constructor(private readonly clock: () => number) {}

  /** The signals that VMs received and the configurations that were written. */
  get plannedWork(): readonly PlannedWork[] {
    return this.work;
  }

  /** Records the start of an effect; the result records its end. */
  begin(nature: FaultNature, vms?: readonly string[]): () => void {
    const effect = {nature, vms, fromMs: this.clock(), toMs: Infinity};
    this.effects.push(effect);
    return () => {
      effect.toMs = this.clock();
    };
  }

  /** Records a signal that is sent to a VM now. */
  signalled(kind: VmSignal, vm: string): void {
    this.work.push({kind, vm, atMs: this.clock()});
  }

  /** Records a configuration that was sent at `sentMs` and is written now. */
  configured(sentMs: number): void {
    const acknowledgedMs = this.clock();
    this.work.push({kind: 'configuration', atMs: sentMs, acknowledgedMs});
  }

  /** Whether no fault disturbed the VM or the store during the interval. */
  isUndisturbed(vm: string, fromMs: number, toMs: number): boolean {
    return !this.hasEffect(['disturbs', 'stops'], vm, fromMs, toMs);
  }

  /** Whether the VM, its links, the store or members had an unplanned fault. */
  isDisrupted(vm: string, fromMs: number, toMs: number): boolean {
    return this.hasEffect(['disturbs', 'harms'], vm, fromMs, toMs);
  }

  private hasEffect(
    natures: readonly FaultNature[],
    vm: string,
    fromMs: number,
    toMs: number,
  ): boolean {
    return this.effects.some(
      effect =>
        natures.includes(effect.nature) &&
        (effect.vms === undefined || effect.vms.includes(vm)) &&
        effect.toMs >= fromMs &&
        effect.fromMs <= toMs,
    );
  }
}
