import {drainReasons} from '@pistachiorill/core';
import type {Configuration, DrainInput, DrainReason} from '@pistachiorill/core';
import type {ListedVm} from '@pistachiorill/store';
import {Task} from '@pistachiorill/tasks';

/** Messages to the lifecycle task. */
export type LifecycleMessage =
  | {readonly kind: 'listed'; readonly vms: readonly ListedVm[]}
  | {readonly kind: 'configured'; readonly configuration: Configuration}
  | {readonly kind: 'stop-requested'};

/** The collaborators of the lifecycle task. */
export interface LifecycleDependencies {
  readonly vm: string;
  readonly dataCentre: string;
  /** Called when the drain reasons change; the VM serves if there are none. */
  readonly onChanged: (
    reasons: readonly DrainReason[],
    before: readonly DrainReason[],
  ) => void;
  readonly onFault: (err: unknown) => void;
}

/**
 * Owns the drain reasons of this VM, which accepts no new work while there is
 * one. They follow from the platform's list, the configuration and a requested
 * stop.
 */
export class LifecycleTask extends Task<LifecycleMessage> {
  private input: DrainInput;
  private reasons: readonly DrainReason[] = [];

  constructor(private readonly deps: LifecycleDependencies) {
    super();
    this.input = {
      stop: 'not-requested',
      platformState: 'not-listed',
      dataCentre: deps.dataCentre,
      configuration: undefined,
    };
  }

  protected override handle(message: LifecycleMessage): void {
    switch (message.kind) {
      case 'listed':
        this.updateListed(message.vms);
        return;
      case 'configured':
        this.update({configuration: message.configuration});
        return;
      case 'stop-requested':
        this.update({stop: 'requested'});
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.deps.onFault(err);
  }

  private updateListed(vms: readonly ListedVm[]): void {
    const own = vms.find(item => item.vm === this.deps.vm);
    this.update({platformState: own?.state ?? 'not-listed'});
  }

  private update(change: Partial<DrainInput>): void {
    this.input = {...this.input, ...change};
    const before = this.reasons;
    this.reasons = drainReasons(this.input);
    if (before.join() !== this.reasons.join()) {
      this.deps.onChanged(this.reasons, before);
    }
  }
}
