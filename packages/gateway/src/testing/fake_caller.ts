import {CallerLink} from '../ports/caller_link.js';
import type {SessionRefusal, SessionReply} from '../ports/caller_link.js';
import type {TransactionState} from '../ports/member_link.js';

/** Records what the session sends to its caller. */
export class FakeCaller extends CallerLink {
  /** The replies and other calls as text, in order. */
  readonly seen: string[] = [];
  /** Delivers requests that arrived and were not read yet. */
  pending: () => void = () => undefined;
  private open = true;

  override get isOpen(): boolean {
    return this.open;
  }

  override accept(): void {
    this.seen.push('accepted');
  }

  override reject({kind}: SessionRefusal): void {
    this.seen.push(`rejected: ${kind}`);
  }

  override reply(reply: SessionReply, transaction: TransactionState): void {
    this.seen.push(`${describeReply(reply)}, transaction ${transaction}`);
  }

  override async receivePending(): Promise<void> {
    this.pending();
  }

  override close(): void {
    if (this.open) this.seen.push('closed');
    this.open = false;
  }
}

function describeReply(reply: SessionReply): string {
  switch (reply.kind) {
    case 'local':
      return 'local';
    case 'refused':
      return `refused: ${reply.refusal.kind}`;
    case 'member':
      return reply.answer.outcome.kind === 'done'
        ? reply.answer.outcome.signature
        : reply.answer.outcome.error.code;
  }
}
