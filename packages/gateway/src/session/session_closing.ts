import type {CallerLink, SessionRefusal} from '../ports/caller_link.js';
import {IdleTimer} from './idle_timer.js';
import type {SessionTransaction} from './session_transaction.js';

/** A caller that was asked to close is disconnected after this time. */
const CALLER_CLOSE_TIMEOUT_MS = 1_000;

/**
 * A caller that goes on sending is disconnected after this many further rounds
 * of answers.
 */
const MAX_DISCONNECT_ROUNDS = 64;

/**
 * How far a session is in ending. `draining` waits until no transaction is open,
 * `closing` does not, and `disconnecting` no longer waits for the caller.
 */
type ClosingMode = 'none' | 'draining' | 'closing' | 'disconnecting';

/** Whether the caller was asked to close, and sent a request nevertheless. */
type CloseRequest = 'none' | 'made' | 'crossed';

/** How a request of a caller that was asked to close is refused, and why. */
export interface ClosingRefusal {
  /** `complete` adds what the request to close lacks for a whole answer. */
  readonly how: 'complete' | 'whole';
  readonly reason: SessionRefusal;
}

/**
 * Ends a caller's session from this side. A request can be on its way at any
 * time, so the VM asks the caller to close and ends the connection itself only
 * if the caller does not.
 */
export class SessionClosing {
  private mode: ClosingMode = 'none';
  private request: CloseRequest = 'none';
  private reason: SessionRefusal = {kind: 'busy', detail: 'the session ends'};
  private disconnectRounds = 0;
  private readonly timer: IdleTimer;

  constructor(
    private readonly link: CallerLink,
    onOverdue: () => void,
  ) {
    this.timer = new IdleTimer(onOverdue);
  }

  /** Whether the session is to end. */
  get isStarted(): boolean {
    return this.mode !== 'none';
  }

  /** Whether the caller has been asked to close. */
  get isRequested(): boolean {
    return this.request !== 'none';
  }

  /** Whether this side ends the connection. */
  get isDisconnecting(): boolean {
    return this.mode === 'disconnecting';
  }

  /** Whether requests that arrived before the disconnection are still answered. */
  mayAnswerMore(): boolean {
    return this.disconnectRounds++ < MAX_DISCONNECT_ROUNDS;
  }

  /** Ends the session once no transaction is open. */
  drain(reason: SessionRefusal): void {
    if (this.mode !== 'none') return;
    this.mode = 'draining';
    this.reason = reason;
  }

  /** Ends the session without waiting for its transaction. */
  close(reason: SessionRefusal): void {
    if (this.mode === 'disconnecting') return;
    if (this.mode === 'none') this.reason = reason;
    this.mode = 'closing';
  }

  /** Ends the session without waiting for its caller. */
  disconnect(): void {
    this.mode = 'disconnecting';
  }

  /** Whether the caller is to be asked to close now. */
  isDue({kind}: SessionTransaction): boolean {
    if (this.request === 'made') return false;
    return (
      this.mode === 'closing' || (this.mode === 'draining' && kind === 'none')
    );
  }

  /** Asks the caller to close, and again after each request that crossed. */
  requestClose(): void {
    if (this.request === 'none') this.timer.start(CALLER_CLOSE_TIMEOUT_MS);
    this.request = 'made';
    this.link.requestClose(this.reason);
  }

  /**
   * Decides how a request of a caller that was asked to close is refused. The
   * first one crossed the request to close, which is the first part of its
   * refusal. Requests behind it are refused as well: they may rely on it.
   */
  refuse(): ClosingRefusal {
    const how = this.request === 'made' ? 'complete' : 'whole';
    this.request = 'crossed';
    return {how, reason: this.reason};
  }

  /** The session has ended. */
  stop(): void {
    this.timer.stop();
  }
}
