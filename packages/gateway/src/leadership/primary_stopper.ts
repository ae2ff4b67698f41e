import {
  earliestStoreTime,
  laterPosition,
  mayHoldPrimaryLease,
} from '@pistachiorill/core';
import type {LogPosition} from '@pistachiorill/core';
import {ask, sleep} from '@pistachiorill/tasks';
import {vmKey} from '../fleet/fleet_rows.js';
import type {
  PrimaryChangeRequest,
  PrimaryChangeDependencies,
} from './primary_change_dependencies.js';

/** How often VMs that have not answered are asked again to stop. */
const STOP_RETRY_MS = 150;
/** Longer than a VM lets running statements finish before it answers. */
const STOP_TIMEOUT_MS = 900;
const VIEW_CHECK_INTERVAL_MS = 10;

/** The store's answer to the write that announces a primary change. */
export interface ChangeAnnouncement {
  readonly version: number;
  readonly storeMs: number;
  /** The term in which the replaced member is recorded to have led. */
  readonly fromTerm: number | undefined;
  /** Whether an earlier coordinator may already have ordered a promotion. */
  readonly origin: 'own-move' | 'taken-over';
}

/** Collaborators for stopping the use of a primary. */
export interface PrimaryStopperDependencies extends Pick<
  PrimaryChangeDependencies,
  'vm' | 'database' | 'view' | 'peers' | 'transact' | 'clock'
> {
  /** Extends the coordinator lease if it would end during the wait. */
  readonly renewLeaseIfNeeded: () => Promise<void>;
  readonly onStep: (step: string, details: object) => void;
}

/** Makes every VM stop using a primary that is being replaced. */
export class PrimaryStopper {
  constructor(
    private readonly request: PrimaryChangeRequest,
    private readonly deps: PrimaryStopperDependencies,
  ) {}

  /**
   * Waits until no VM uses the former primary; returns the last log position
   * that any VM observed at it.
   */
  async stopAll(
    announced: ChangeAnnouncement,
  ): Promise<LogPosition | undefined> {
    const {group, from, reason} = this.request;
    const req = {group, version: announced.version, from, reason};
    let lastPosition = await this.stopLocally(announced.version);
    await this.waitForVmRows(announced);
    const pending = new Set(this.deps.view().rows.vms.keys());
    pending.delete(this.deps.vm);
    const mustWait = (): boolean =>
      [...pending].some(vm => this.mayUsePrimary(vm, announced));
    while (mustWait()) {
      const started = this.deps.clock();
      await Promise.all(
        [...pending].map(async vm => {
          const answer = await this.deps.peers.stopPrimary(
            vm,
            req,
            STOP_TIMEOUT_MS,
          );
          if (!answer.ok) return;
          pending.delete(vm);
          lastPosition = laterPosition(
            lastPosition,
            answer.value.seen ?? undefined,
          );
        }),
      );
      await this.deps.renewLeaseIfNeeded();
      // VMs that are no longer registered, or run as a new process since, hold
      // no primary lease.
      const listed = this.deps.view().rows.vms;
      for (const vm of pending) if (!listed.has(vm)) pending.delete(vm);
      const pause = STOP_RETRY_MS - (this.deps.clock() - started);
      if (pending.size > 0 && pause > 0) await sleep(pause);
    }
    this.deps.onStep('stopped', {unreached: [...pending]});
    await this.removeUnreachedVms([...pending]);
    return lastPosition;
  }

  /** Waits for the rows of all VMs that registered before the announcement. */
  private async waitForVmRows(announced: ChangeAnnouncement): Promise<void> {
    while (
      this.deps.view().version < announced.version &&
      this.mayAnyVmUsePrimary(announced)
    ) {
      await sleep(VIEW_CHECK_INTERVAL_MS);
    }
  }

  /**
   * Removes the rows of VMs whose primary leases have expired, so that the next
   * primary change does not wait for them. A VM that is alive registers again.
   */
  private async removeUnreachedVms(names: readonly string[]): Promise<void> {
    const {vms} = this.deps.view().rows;
    for (const vm of names) {
      const version = vms.get(vm)?.version;
      if (version === undefined) continue;
      const result = await this.deps.transact({
        expected: new Map([[vmKey(vm), version]]),
        puts: new Map(),
        removals: [vmKey(vm)],
      });
      this.deps.onStep('removed-vm', {
        vm,
        result: result.ok ? 'done' : result.err,
      });
    }
  }

  /** Stops this VM's own use of the former primary. */
  private stopLocally(version: number): Promise<LogPosition | undefined> {
    const {from, reason} = this.request;
    return ask(reply =>
      this.deps.database.tell({
        kind: 'stop-primary',
        leadership: {record: {phase: 'moving', from, reason}, version},
        mode: reason === 'leaving' ? 'finish' : 'abandon',
        reply,
      }),
    );
  }

  /** Whether any VM may still hold a primary lease as of the announcement. */
  private mayAnyVmUsePrimary(announced: ChangeAnnouncement): boolean {
    return mayHoldPrimaryLease(announced.storeMs, this.earliestStoreMs());
  }

  /**
   * Whether an unresponsive VM may still use the former primary. Its primary
   * lease ended earlier if it was declared lost before the announcement.
   */
  private mayUsePrimary(vm: string, announced: ChangeAnnouncement): boolean {
    const entry = this.deps.view().rows.shares?.value[vm];
    const endedAt = Math.min(entry?.lostBy ?? Infinity, announced.storeMs);
    return mayHoldPrimaryLease(endedAt, this.earliestStoreMs());
  }

  private earliestStoreMs(): number {
    return earliestStoreTime(this.deps.view().storeClock, this.deps.clock());
  }
}
