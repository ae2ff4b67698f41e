import {
  earliestStoreTime,
  laterPosition,
  mayStillHoldRight,
} from '@pistachiorill/core';
import type {LogPosition} from '@pistachiorill/core';
import {ask, sleep} from '@pistachiorill/tasks';
import {vmKey} from '../fleet/fleet_rows.js';
import type {MoveRequest, MoveTools} from './move_tools.js';

/** How often VMs that have not answered are asked to stop again. */
const STOP_RETRY_MS = 150;
/** Above the time that statements may take to finish. */
const STOP_TIMEOUT_MS = 900;
const VIEW_INTERVAL_MS = 10;

/** The store's answer to the record that announces a move. */
export interface Announced {
  readonly version: number;
  readonly storeMs: number;
  /** Whether an earlier holder may have given an order. */
  readonly origin: 'own-move' | 'taken-over';
}

export interface VmStopsTools extends Pick<
  MoveTools,
  'vm' | 'database' | 'view' | 'peers' | 'transact' | 'clock'
> {
  /** Extends the duty if it would end during the wait. */
  readonly keepDuty: () => Promise<void>;
  readonly onStep: (step: string, details: object) => void;
}

/** Makes every VM stop the use of a primary that is being replaced. */
export class VmStops {
  constructor(
    private readonly request: MoveRequest,
    private readonly tools: VmStopsTools,
  ) {}

  /** Waits until no VM uses the former primary; returns the last position. */
  async stopAll(announced: Announced): Promise<LogPosition | undefined> {
    const {group, from, reason} = this.request;
    const req = {group, version: announced.version, from, reason};
    let seen = await this.stopOwn(announced.version);
    await this.knowAllVms(announced);
    const pending = new Set(this.tools.view().rows.vms.keys());
    pending.delete(this.tools.vm);
    const mayWait = (): boolean =>
      [...pending].some(vm => this.mayUse(vm, announced));
    while (mayWait()) {
      const started = this.tools.clock();
      await Promise.all(
        [...pending].map(async vm => {
          const answer = await this.tools.peers.stopPrimary(
            vm,
            req,
            STOP_TIMEOUT_MS,
          );
          if (!answer.ok) return;
          pending.delete(vm);
          seen = laterPosition(seen, answer.value.seen ?? undefined);
        }),
      );
      await this.tools.keepDuty();
      // VMs that left the list, or are replaced by a new process, hold nothing.
      const listed = this.tools.view().rows.vms;
      for (const vm of pending) if (!listed.has(vm)) pending.delete(vm);
      const pause = STOP_RETRY_MS - (this.tools.clock() - started);
      if (pending.size > 0 && pause > 0) await sleep(pause);
    }
    this.tools.onStep('stopped', {unreached: [...pending]});
    await this.removeUnreached([...pending]);
    return seen;
  }

  /** Waits for the rows of all VMs that registered before the record. */
  private async knowAllVms(announced: Announced): Promise<void> {
    while (
      this.tools.view().version < announced.version &&
      this.mayBeUsed(announced)
    ) {
      await sleep(VIEW_INTERVAL_MS);
    }
  }

  /**
   * Takes VMs off the list whose knowledge has expired, so that the next move
   * does not wait for them. One that lives registers anew.
   */
  private async removeUnreached(names: readonly string[]): Promise<void> {
    const {vms} = this.tools.view().rows;
    for (const vm of names) {
      const version = vms.get(vm)?.version;
      if (version === undefined) continue;
      const result = await this.tools.transact({
        expected: new Map([[vmKey(vm), version]]),
        puts: new Map(),
        removals: [vmKey(vm)],
      });
      this.tools.onStep('removed-vm', {
        vm,
        result: result.ok ? 'done' : result.err,
      });
    }
  }

  private stopOwn(version: number): Promise<LogPosition | undefined> {
    const {from, reason} = this.request;
    return ask(reply =>
      this.tools.database.tell({
        kind: 'stop-primary',
        leadership: {record: {phase: 'moving', from, reason}, version},
        mode: reason === 'leaving' ? 'finish' : 'abandon',
        reply,
      }),
    );
  }

  private mayBeUsed(announced: Announced): boolean {
    return mayStillHoldRight(announced.storeMs, this.earliestStoreMs());
  }

  /**
   * Whether a VM that does not answer may use the former primary. Its right
   * ended earlier if it was declared lost before the move was announced.
   */
  private mayUse(vm: string, announced: Announced): boolean {
    const entry = this.tools.view().rows.shares?.value[vm];
    const endedAt = Math.min(entry?.lostBy ?? Infinity, announced.storeMs);
    return mayStillHoldRight(endedAt, this.earliestStoreMs());
  }

  private earliestStoreMs(): number {
    return earliestStoreTime(this.tools.view().storeClock, this.tools.clock());
  }
}
