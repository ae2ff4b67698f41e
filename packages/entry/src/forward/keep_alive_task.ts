import {Task} from '@pistachiorill/tasks';
import type {OwnerClient, OwnerTarget} from './owner_client.js';

/** Interval between two keep-alives, and the time limit for each. */
export const KEEP_ALIVE_INTERVAL_MS = 1_000;

/** Messages that a `KeepAliveTask` handles. */
export type KeepAliveMessage =
  | {
      readonly kind: 'opened';
      readonly transaction: string;
      readonly owner: OwnerTarget;
    }
  | {readonly kind: 'ended'; readonly transaction: string}
  | {readonly kind: 'send'};

/**
 * Sends the ids of this VM's open forwarded transactions to their owners at a
 * fixed interval. An owner rolls back a transaction that is no longer listed.
 */
export class KeepAliveTask extends Task<KeepAliveMessage> {
  private readonly open = new Map<string, OwnerTarget>();
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly ownerClient: OwnerClient,
    private readonly onFault: (err: unknown) => void,
  ) {
    super();
    this.timer = setInterval(
      () => this.tell({kind: 'send'}),
      KEEP_ALIVE_INTERVAL_MS,
    );
  }

  override async stop(): Promise<void> {
    clearInterval(this.timer);
    await super.stop();
  }

  protected override handle(message: KeepAliveMessage): void {
    switch (message.kind) {
      case 'opened':
        this.open.set(message.transaction, message.owner);
        return;
      case 'ended':
        this.open.delete(message.transaction);
        return;
      case 'send':
        this.send();
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.onFault(err);
  }

  private send(): void {
    const byAddress = new Map<string, {owner: OwnerTarget; ids: string[]}>();
    for (const [transaction, owner] of this.open) {
      const batch = byAddress.get(owner.address) ?? {owner, ids: []};
      batch.ids.push(transaction);
      byAddress.set(owner.address, batch);
    }
    for (const {owner, ids} of byAddress.values()) {
      // A lost keep-alive needs no retry, since the next one replaces it.
      void this.ownerClient.keepAlive(owner, ids, KEEP_ALIVE_INTERVAL_MS);
    }
  }
}
