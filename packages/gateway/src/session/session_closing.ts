import type {CallerLink, SessionRefusal} from '../ports/caller_link.js';
import {IdleTimer} from './idle_timer.js';
import type {SessionTransaction} from './session_transaction.js';

/** A caller that was asked to close is disconnected after this time. */
const CALLER_CLOSE_TIMEOUT_MS = 5_000;

/**
 * Ends a caller's session from this side. A request can be on its way at any
 * time, so the VM asks the caller to close and ends the connection itself only
 * if the caller does not.
 */
export class SessionClosing {
  /** `draining` waits until no transaction is open, `closing` does not. */
  private mode: 'none' | 'draining' | 'closing' = 'none';
  private request: 'none' | 'made' = 'none';
  private reason: SessionRefusal = {kind: 'busy', detail: 'the session ends'};
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
    return this.request === 'made';
  }

  /** Ends the session once no transaction is open. */
  drain(reason: SessionRefusal): void {
    if (this.mode !== 'none') return;
    this.mode = 'draining';
    this.reason = reason;
  }

  /** Ends the session without waiting for its transaction. */
  close(reason: SessionRefusal): void {
    if (this.mode === 'none') this.reason = reason;
    this.mode = 'closing';
  }

  /** Whether the caller is to be asked to close now. */
  isDue({kind}: SessionTransaction): boolean {
    if (this.request === 'made') return false;
    return (
      this.mode === 'closing' || (this.mode === 'draining' && kind === 'none')
    );
  }

  /** Asks the caller to close. */
  requestClose(): void {
    this.request = 'made';
    this.link.requestClose(this.reason);
    this.timer.start(CALLER_CLOSE_TIMEOUT_MS);
  }

  /**
   * Returns the refusal of a request that crossed the request to close. Its
   * caller did not close and is to be asked again.
   */
  requestCrossed(): SessionRefusal {
    this.request = 'none';
    return this.reason;
  }

  /** The session has ended. */
  stop(): void {
    this.timer.stop();
  }
}
