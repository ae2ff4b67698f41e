import type {LogPosition} from '@pistachiorill/core';
import type {
  CallerLink,
  SessionRefusal,
  SessionReply,
} from '../ports/caller_link.js';
import type {ClosingRefusal} from './session_closing.js';
import type {SessionDependencies} from './session_message.js';
import {recordStatementRefusal, recordUndelivered} from './session_records.js';
import {reportedState} from './session_transaction.js';
import type {SessionTransaction} from './session_transaction.js';

/** Sends and records the replies to a session's statements. */
export class StatementReplies {
  private request = '';
  private state: 'pending' | 'answered' = 'pending';

  constructor(
    private readonly link: CallerLink,
    private readonly deps: SessionDependencies,
    private readonly database: () => string,
    private readonly transaction: () => SessionTransaction,
  ) {}

  /** Whether the statement that is handled has got its reply. */
  get isAnswered(): boolean {
    return this.state === 'answered';
  }

  /** Starts on the next statement. */
  start(request: string): void {
    this.request = request;
    this.state = 'pending';
  }

  /** Replies; `position` is the log position that a member reported. */
  send(reply: SessionReply, position?: LogPosition): void {
    const {deps, request, link} = this;
    if (reply.kind === 'refused') {
      recordStatementRefusal(deps, request, this.database(), reply.refusal);
    }
    this.state = 'answered';
    const state = reportedState(this.transaction());
    if (link.reply(reply, state, position) === 'sent') return;
    recordUndelivered(deps, request, this.database());
  }

  /** Refuses a request of a caller that was asked to close. */
  refuseWhileClosing(request: string, {how, reason}: ClosingRefusal): void {
    this.start(request);
    if (how === 'whole') {
      this.refuse(reason);
      return;
    }
    recordStatementRefusal(this.deps, request, this.database(), reason);
    this.link.completeRefusal();
  }

  /** Replies with a refusal. */
  refuse(refusal: SessionRefusal): void {
    this.send({kind: 'refused', refusal});
  }
}
