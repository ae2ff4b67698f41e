import {fail, ok} from '@pistachiorill/core';
import type {
  FreshnessLog,
  GroupView,
  MemberRequest,
  Random,
  ReadPolicy,
  Refusal,
  Result,
} from '@pistachiorill/core';
import type {Reply} from '@pistachiorill/tasks';
import type {ChosenMember} from './group_message.js';

/** Limits the statements of one group that wait for a member. */
const MAX_WAITING_STATEMENTS = 2_000;

/** A statement that waits until a member is chosen for it. */
export interface PendingChoice {
  readonly request: Omit<MemberRequest, 'avoid'>;
  /** Time at which the statement is refused if no member was chosen. */
  readonly until: number;
  readonly reply: Reply<Result<ChosenMember, Refusal>>;
}

/** The state of a group on which the choice of a member depends. */
export interface ChoiceContext {
  readonly view: GroupView;
  readonly freshness: FreshnessLog;
  /** Members to avoid because their connections failed. */
  readonly avoid: readonly string[];
  /** How long the oldest unconfirmed write has waited for its proof. */
  readonly confirmationDelayMs: number;
}

/** Holds the statements that wait for a member. Owned by the `GroupTask`. */
export class MemberChoiceQueue {
  private waiters: PendingChoice[] = [];

  constructor(
    private readonly policy: ReadPolicy,
    private readonly random: Random,
  ) {}

  get size(): number {
    return this.waiters.length;
  }

  /**
   * Adds a statement. Refuses it as overloaded if the queue is full or if it is
   * a write that could not be confirmed before its deadline.
   */
  add(waiter: PendingChoice, context: ChoiceContext, now: number): void {
    const detail = this.overloadDetail(waiter, context, now);
    if (detail === undefined) {
      this.waiters.push(waiter);
    } else {
      waiter.reply.answer(fail({kind: 'overloaded', detail}));
    }
  }

  /** Answers the statements that now have a member or whose wait is over. */
  answerReady(context: ChoiceContext, now: number): void {
    const {view, freshness, avoid} = context;
    this.waiters = this.waiters.filter(waiter => {
      const choice = this.policy.choose(
        {...waiter.request, avoid},
        view,
        freshness,
        this.random,
        now,
      );
      if (choice.kind === 'use') {
        waiter.reply.answer(ok(choice));
        return false;
      }
      if (waiter.until > now) return true;
      const detail =
        choice.reason === 'no-primary'
          ? `database ${view.database} has no primary at present`
          : 'no member is recent enough';
      waiter.reply.answer(fail({kind: 'no-member', detail}));
      return false;
    });
  }

  private overloadDetail(
    waiter: PendingChoice,
    {confirmationDelayMs: delayMs}: ChoiceContext,
    now: number,
  ): string | undefined {
    if (this.waiters.length >= MAX_WAITING_STATEMENTS) {
      return `${this.waiters.length} statements already wait for a member`;
    }
    const isWrite = waiter.request.access === 'write';
    return isWrite && delayMs > waiter.until - now
      ? `the group takes over ${Math.round(delayMs)} ms to confirm writes`
      : undefined;
  }
}
