import type {MemberState, Result} from '@pistachiorill/core';
import type {BackendError, GroupControl} from '@pistachiorill/mysql';
import {Task} from '@pistachiorill/tasks';
import type {Clock, Reply} from '@pistachiorill/tasks';

/** Poll interval while no statement waits for the state of a member. */
const IDLE_POLL_MS = 250;
/** Poll interval while statements wait for a quorum proof. */
const URGENT_POLL_MS = 5;
/** Poll interval while statements wait for a member, as in a failover. */
const WAITING_POLL_MS = 50;

/** The state of a member after a poll or a control call, or the error. */
export type MemberControlResult = Result<MemberState, BackendError>;

/** How often the member is polled: each pace has its own interval. */
export type PollPace = 'idle' | 'waiting' | 'urgent';

const POLL_INTERVAL_MS: Readonly<Record<PollPace, number>> = {
  idle: IDLE_POLL_MS,
  waiting: WAITING_POLL_MS,
  urgent: URGENT_POLL_MS,
};

/** The outcome of one poll. */
export interface PollReply {
  readonly backendServer: string;
  /** Time at which the poll was sent; the state is no older than this. */
  readonly sentAt: number;
  readonly result: MemberControlResult;
}

/** A call that changes the role or the fence of a member. */
export type MemberControlCall =
  | {
      readonly kind: 'fence' | 'promote';
      readonly term: number;
      readonly owner: string;
    }
  | {readonly kind: 'follow'; readonly term: number; readonly primary: string};

/** Messages that a `MemberControlTask` handles. */
export type MemberControlMessage =
  | {readonly kind: 'poll'}
  /** Changes how often the member is polled. */
  | {readonly kind: 'pace'; readonly pace: PollPace}
  | (MemberControlCall & {readonly reply: Reply<MemberControlResult>})
  | {readonly kind: 'close'};

/** Owns the control connection to one member and polls its state. */
export class MemberControlTask extends Task<MemberControlMessage> {
  private pace: PollPace = 'idle';
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly backendServer: string,
    private readonly control: GroupControl,
    private readonly clock: Clock,
    private readonly onPolled: (reply: PollReply) => void,
    private readonly onFault: (err: unknown) => void,
  ) {
    super();
  }

  protected override async handle(
    message: MemberControlMessage,
  ): Promise<void> {
    switch (message.kind) {
      case 'poll':
        await this.poll();
        return;
      case 'pace':
        this.setPace(message.pace);
        return;
      case 'fence':
        message.reply.answer(
          await this.control.fence(message.term, message.owner),
        );
        return;
      case 'promote':
        message.reply.answer(
          await this.control.promote(message.term, message.owner),
        );
        return;
      case 'follow':
        message.reply.answer(
          await this.control.follow(message.term, message.primary),
        );
        return;
      case 'close':
        clearTimeout(this.timer);
        this.control.close();
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.onFault(err);
    this.schedule();
  }

  private async poll(): Promise<void> {
    const sentAt = this.clock();
    const result = await this.control.state();
    this.onPolled({backendServer: this.backendServer, sentAt, result});
    this.schedule();
  }

  private setPace(pace: PollPace): void {
    if (this.pace === pace) return;
    this.pace = pace;
    // Statements wait for the member's state, so the first poll is immediate.
    if (pace !== 'idle') this.tell({kind: 'poll'});
  }

  private schedule(): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(
      () => this.tell({kind: 'poll'}),
      POLL_INTERVAL_MS[this.pace],
    );
  }
}
