import type {Result, SessionValues} from '@pistachiorill/core';
import type {SessionRefusal} from '../ports/caller_link.js';
import {IdleTimer} from '../session/idle_timer.js';
import type {
  GroupAnswer,
  MemberTransaction,
  PinnedStatement,
} from '../session/member_transaction.js';
import type {ForwardedTransactionId} from './forward_schema.js';

/** Why an owner rolled back a transaction that it held for another VM. */
export type HeldRollbackReason =
  /** The calling VM asked for it. */
  | 'requested'
  | 'idle'
  /** A statement had no time left. */
  | 'late'
  /** The process of the calling VM is no longer registered. */
  | 'caller-gone'
  /** This VM stops. */
  | 'stopping';

/** `opening` until its first statement is answered. */
type HeldPhase =
  'opening' | 'idle' | 'running' | 'committing' | 'ended' | 'rolled-back';

/** A transaction that an owner holds for another VM. */
export class HeldTransaction {
  private phase: HeldPhase = 'opening';
  private transaction: MemberTransaction | undefined;
  /** The number of the last statement. */
  private step = 1;
  private endReason: HeldRollbackReason | undefined;
  /** Whether the calling process has been seen in the shared rows. */
  private registration: 'unseen' | 'seen' = 'unseen';
  private readonly idleTimer: IdleTimer;

  constructor(
    readonly caller: ForwardedTransactionId,
    /** The session values of its last statement. */
    private values: SessionValues,
    private readonly onRolledBack: (reason: HeldRollbackReason) => void,
    onIdle: () => void,
  ) {
    this.idleTimer = new IdleTimer(onIdle);
  }

  /** Whether it has ended. */
  get isEnded(): boolean {
    return this.phase === 'ended' || this.isRolledBack;
  }

  /** Whether it was rolled back, so that nothing of it was kept. */
  get isRolledBack(): boolean {
    return this.phase === 'rolled-back';
  }

  /** Whether a statement with this number may run now. */
  accepts(step: number): boolean {
    return this.phase === 'idle' && step === this.step + 1;
  }

  /** Its first statement was answered; undefined if it opened none. */
  async opened(
    transaction: MemberTransaction | undefined,
    idleMs: number,
  ): Promise<void> {
    this.transaction = transaction;
    await this.finished(transaction ? 'open' : 'ended', idleMs);
  }

  /** Runs the next statement. */
  async run(
    statement: PinnedStatement,
    idleMs: number,
  ): Promise<Result<GroupAnswer, SessionRefusal> | undefined> {
    const {transaction} = this;
    if (!transaction) return undefined;
    this.idleTimer.stop();
    this.phase = statement.access === 'commit' ? 'committing' : 'running';
    this.step++;
    this.values = statement.values;
    let result: Result<GroupAnswer, SessionRefusal>;
    try {
      result = await transaction.run(statement);
    } catch (err) {
      transaction.abandon();
      this.phase = 'ended';
      throw err;
    }
    const isOpen = result.ok && statement.access !== 'commit';
    await this.finished(isOpen ? 'open' : 'ended', idleMs);
    return result;
  }

  /** Rolls back, after the statement that may be running. */
  async end(reason: HeldRollbackReason): Promise<void> {
    if (this.isEnded) return;
    // The next statement has begun since the idle time passed.
    if (reason === 'idle' && this.phase !== 'idle') return;
    this.endReason ??= reason;
    // A caller that asks for it does not wait for its statement any more.
    if (this.phase === 'running' && reason === 'requested') {
      this.transaction?.abandon();
    }
    if (this.phase === 'idle') await this.rollback(this.endReason);
  }

  /**
   * Notes which processes are registered. Returns whether the calling one was
   * registered and is no longer.
   */
  isCallerGone(incarnations: ReadonlyMap<string, string>): boolean {
    const {vm, incarnation} = this.caller;
    if (incarnations.get(vm) === incarnation) this.registration = 'seen';
    else if (this.registration === 'seen') return true;
    return false;
  }

  private async finished(
    state: 'open' | 'ended',
    idleMs: number,
  ): Promise<void> {
    if (state === 'ended') {
      this.phase = 'ended';
      return;
    }
    if (this.endReason !== undefined) {
      await this.rollback(this.endReason);
      return;
    }
    this.phase = 'idle';
    this.idleTimer.start(idleMs);
  }

  private async rollback(reason: HeldRollbackReason): Promise<void> {
    this.idleTimer.stop();
    this.phase = 'rolled-back';
    this.onRolledBack(reason);
    await this.transaction?.rollback(this.values);
  }
}
