import {CallerLink} from '../ports/caller_link.js';
import type {SessionRefusal, SessionReply} from '../ports/caller_link.js';
import type {TransactionState} from '../ports/member_link.js';

/** Records what the session sends to its caller. */
export class FakeCaller extends CallerLink {
  /** The replies and other calls as text, in order. */
  readonly seen: string[] = [];
  /** Delivers requests that arrived and were not read yet. */
  pending: () => void = () => undefined;
  /** What the caller does when it is asked to close. */
  onCloseRequested: () => void = () => undefined;
  /** What the session holds, as it reported last. */
  stateBytes = 0;
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

  override reply(
    reply: SessionReply,
    transaction: TransactionState,
  ): 'sent' | 'not-sent' {
    this.seen.push(`${describeReply(reply)}, transaction ${transaction}`);
    return this.open ? 'sent' : 'not-sent';
  }

  override async receivePending(): Promise<void> {
    this.pending();
  }

  override requestClose({kind}: SessionRefusal): void {
    this.seen.push(`asked to close: ${kind}`);
    this.onCloseRequested();
  }

  override completeRefusal(): void {
    this.seen.push('refusal completed');
  }

  override reportState(bytes: number): void {
    this.stateBytes = bytes;
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
