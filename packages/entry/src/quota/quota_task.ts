import {decideQuota, maxLentPpm, newQuotaState} from '@pistachiorill/core';
import type {
  LoanGrant,
  LoanRequest,
  QuotaEffect,
  QuotaMessage,
  QuotaState,
  Random,
} from '@pistachiorill/core';
import {Task} from '@pistachiorill/tasks';
import type {Clock, Reply} from '@pistachiorill/tasks';
import type {
  AdmitOutcome,
  QuotaTaskMessage,
  ShareUse,
} from './quota_message.js';

const WAITING_TICK_MS = 20;
/** Short enough to renew loans before they expire. */
const IDLE_TICK_MS = 200;

/** Sends a loan request to a peer; undefined if there was no answer. */
export type SendLoanRequest = (
  instance: string,
  request: LoanRequest,
) => Promise<LoanGrant | undefined>;

/** The collaborators of the quota task. */
export interface QuotaDependencies {
  /** The instance of this VM. */
  readonly self: string;
  readonly sendLoanRequest: SendLoanRequest;
  readonly random: Random;
  readonly clock: Clock;
  readonly onFault: (err: unknown) => void;
}

/** A statement that waits for a token. */
interface WaitingStatement {
  /** The time at which the wait ends. */
  readonly until: number;
  readonly reply: Reply<AdmitOutcome>;
}

/** Owns the tokens and loans of all workspaces on this VM. */
export class QuotaTask extends Task<QuotaTaskMessage> {
  private state: QuotaState;
  /** The waiting statements by ticket. */
  private readonly waiting = new Map<number, WaitingStatement>();
  /** A lower bound of the time at which the next waiting statement expires. */
  private nextRefusalAt = Infinity;
  private nextTicket = 0;
  private use: ShareUse = 'in-use';
  private confirmedUntil = Number.NEGATIVE_INFINITY;
  private timer: NodeJS.Timeout | undefined;
  private nextTickAt = Infinity;

  constructor(private readonly deps: QuotaDependencies) {
    super();
    this.state = newQuotaState(deps.self);
    this.schedule();
  }

  override async stop(): Promise<void> {
    await super.stop();
    clearTimeout(this.timer);
    for (const {reply} of this.waiting.values()) reply.answer('refused');
    this.waiting.clear();
  }

  protected override handle(message: QuotaTaskMessage): void {
    switch (message.kind) {
      case 'admit': {
        const ticket = ++this.nextTicket;
        const {workspace, until, reply} = message;
        this.waiting.set(ticket, {until, reply});
        this.nextRefusalAt = Math.min(this.nextRefusalAt, until);
        this.decide({kind: 'admit', workspace, ticket, deadline: until});
        break;
      }
      case 'loan-requested': {
        const {request, reply} = message;
        this.decide({kind: 'loan-requested', request}, reply);
        break;
      }
      case 'loan-answered': {
        const {lender, request, grant} = message;
        const {workspace, requestId} = request;
        this.decide({
          kind: 'loan-answered',
          workspace,
          requestId,
          lender,
          grant,
        });
        break;
      }
      case 'share':
        this.setShare(message.sharePpm);
        break;
      case 'lower-share': {
        const lent = maxLentPpm(this.state, this.deps.clock());
        const kept = Math.min(
          this.state.sharePpm,
          Math.max(message.toPpm, lent),
        );
        this.setShare(kept);
        message.reply.answer(kept);
        break;
      }
      case 'confirmed':
        this.confirmedUntil = message.until;
        this.setShare(this.state.sharePpm);
        break;
      case 'use':
        this.use = message.use;
        this.setShare(this.state.sharePpm);
        break;
      case 'limits':
      case 'peers':
        this.decide(message);
        break;
      case 'tick':
        this.nextTickAt = Infinity;
        this.decide(message);
        this.updateNextRefusalTime();
        break;
    }
    this.schedule();
  }

  protected override onFailure(err: unknown): void {
    this.deps.onFault(err);
    this.schedule();
  }

  private setShare(sharePpm: number): void {
    // Loans from a share that is not in use are not renewed and so expire.
    const confirmedUntil =
      this.use === 'in-use' ? this.confirmedUntil : Number.NEGATIVE_INFINITY;
    this.decide({kind: 'share', sharePpm, confirmedUntil});
  }

  private decide(message: QuotaMessage, loanReply?: Reply<LoanGrant>): void {
    const {random, clock} = this.deps;
    const {state, effects} = decideQuota(this.state, message, random, clock());
    this.state = state;
    for (const effect of effects) this.apply(effect, loanReply);
  }

  private apply(effect: QuotaEffect, loanReply?: Reply<LoanGrant>): void {
    switch (effect.kind) {
      case 'admitted':
      case 'refused':
        this.waiting.get(effect.ticket)?.reply.answer(effect.kind);
        this.waiting.delete(effect.ticket);
        return;
      case 'answer-loan':
        loanReply?.answer(effect.grant);
        return;
      case 'request-loan':
        void this.request(effect.lender, effect.request);
        return;
    }
  }

  private async request(lender: string, request: LoanRequest): Promise<void> {
    const grant = await this.deps
      .sendLoanRequest(lender, request)
      .catch((err: unknown) => {
        this.deps.onFault(err);
        return undefined;
      });
    this.tell({kind: 'loan-answered', lender, request, grant});
  }

  private updateNextRefusalTime(): void {
    if (this.nextRefusalAt > this.deps.clock()) return;
    this.nextRefusalAt = Infinity;
    for (const {until} of this.waiting.values()) {
      this.nextRefusalAt = Math.min(this.nextRefusalAt, until);
    }
  }

  /**
   * Schedules the next tick. A tick is also scheduled at the time of the next
   * refusal, which would otherwise come up to a tick late.
   */
  private schedule(): void {
    const now = this.deps.clock();
    const delayMs = this.waiting.size > 0 ? WAITING_TICK_MS : IDLE_TICK_MS;
    const at = Math.min(now + delayMs, this.nextRefusalAt);
    if (at >= this.nextTickAt) return;
    clearTimeout(this.timer);
    this.nextTickAt = at;
    this.timer = setTimeout(() => this.tell({kind: 'tick'}), at - now);
  }
}
