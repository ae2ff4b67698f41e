import {drainReasons} from '@pistachiorill/core';
import type {Configuration, DrainInput, DrainReason} from '@pistachiorill/core';
import type {ListedVm} from '@pistachiorill/store';
import {Task} from '@pistachiorill/tasks';

export type LifecycleMessage =
  | {readonly kind: 'listed'; readonly vms: readonly ListedVm[]}
  | {readonly kind: 'configured'; readonly configuration: Configuration}
  | {readonly kind: 'stop-requested'};

/** What the task works with. */
export interface LifecycleTools {
  readonly vm: string;
  readonly dataCentre: string;
  /** Called when the reasons to drain change; without one, the VM serves. */
  readonly onChanged: (
    reasons: readonly DrainReason[],
    before: readonly DrainReason[],
  ) => void;
  readonly onFault: (err: unknown) => void;
}

/** Owns the reasons why this VM takes no new work. */
export class LifecycleTask extends Task<LifecycleMessage> {
  private input: DrainInput;
  private reasons: readonly DrainReason[] = [];

  constructor(private readonly tools: LifecycleTools) {
    super();
    this.input = {
      stop: 'not-requested',
      listed: 'not-listed',
      dataCentre: tools.dataCentre,
      configuration: undefined,
    };
  }

  protected override handle(message: LifecycleMessage): void {
    switch (message.kind) {
      case 'listed':
        this.listed(message.vms);
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
    this.tools.onFault(err);
  }

  private listed(vms: readonly ListedVm[]): void {
    const own = vms.find(item => item.vm === this.tools.vm);
    this.update({listed: own?.state ?? 'not-listed'});
  }

  private update(change: Partial<DrainInput>): void {
    this.input = {...this.input, ...change};
    const before = this.reasons;
    this.reasons = drainReasons(this.input);
    if (before.join() !== this.reasons.join()) {
      this.tools.onChanged(this.reasons, before);
    }
  }
}
