import {MAX_DEVIATION_MS, deviationOf} from './wall_time.js';

/** The pause between two comparisons, also if no window is collected. */
const COMPARE_INTERVAL_MS = 10_000;
/** The pause while too few VMs have confirmed the time. */
const UNTRUSTED_INTERVAL_MS = 2_000;
/** An answer is used for this long, so that a VM may miss two comparisons. */
const ANSWER_LIFETIME_MS = 30_000;

/** How far a VM's wall-clock time is ahead of this VM's clock. */
interface VmOffset {
  readonly offset: number;
  readonly at: number;
}

/**
 * The wall-clock times of other VMs, relative to the clock of this VM, which is
 * steady. So a correction or a jump of this VM's estimate changes none of them.
 */
export class ClockComparison {
  private readonly offsets = new Map<string, VmOffset>();
  private comparedAt = -Infinity;
  /** This VM's offset at the last comparison. */
  private ownOffset = 0;

  /** Makes a comparison due, as when the lease was not held before. */
  reset(): void {
    this.comparedAt = -Infinity;
  }

  /** Whether the VMs are to be asked for their time. */
  isDue(
    ownOffset: number,
    now: number,
    clock: 'trusted' | 'untrusted',
  ): boolean {
    const intervalMs =
      clock === 'trusted' ? COMPARE_INTERVAL_MS : UNTRUSTED_INTERVAL_MS;
    return (
      now - this.comparedAt >= intervalMs ||
      Math.abs(ownOffset - this.ownOffset) > MAX_DEVIATION_MS
    );
  }

  /** Adds how far VMs that answered are ahead of this VM's estimate. */
  note(
    aheadMs: ReadonlyMap<string, number>,
    ownOffset: number,
    now: number,
  ): void {
    for (const [vm, ms] of aheadMs) {
      this.offsets.set(vm, {offset: ownOffset + ms, at: now});
    }
    this.comparedAt = now;
    this.ownOffset = ownOffset;
    for (const [vm, {at}] of this.offsets) {
      if (now - at > ANSWER_LIFETIME_MS) this.offsets.delete(vm);
    }
  }

  /** By how much this VM corrects its estimate; see `deviationOf`. */
  deviation(vms: readonly string[], ownOffset: number, now: number): number {
    return deviationOf(this.recent(vms, ownOffset, now));
  }

  /** Whether at least half of the VMs have had about the same time of late. */
  confirmation(
    vms: readonly string[],
    ownOffset: number,
    now: number,
  ): 'confirmed' | 'not-confirmed' {
    const close = this.recent(vms, ownOffset, now).filter(
      ms => Math.abs(ms) <= MAX_DEVIATION_MS,
    );
    return close.length * 2 >= vms.length ? 'confirmed' : 'not-confirmed';
  }

  /** How far the VMs that answered of late are ahead of this VM. */
  private recent(
    vms: readonly string[],
    ownOffset: number,
    now: number,
  ): readonly number[] {
    return vms.flatMap(vm => {
      const known = this.offsets.get(vm);
      const isRecent = known && now - known.at <= ANSWER_LIFETIME_MS;
      return isRecent ? [known.offset - ownOffset] : [];
    });
  }
}
