import type {
  LogPosition,
  PreparedStatement,
  StatementAccess,
} from '@pistachiorill/core';
import type {MemberAnswer, TransactionState} from './member_link.js';

/** A statement that a caller sends, as decoded from the wire. */
export type CallerStatement =
  | {readonly kind: 'begin'; readonly access: StatementAccess}
  | {readonly kind: 'commit'}
  | {readonly kind: 'rollback'}
  | {
      readonly kind: 'statement';
      readonly access: StatementAccess;
      /** The text, which is forwarded to a member unchanged. */
      readonly text: string;
    }
  | {
      readonly kind: 'execute';
      readonly name: string;
      readonly parameters: string;
    }
  | {readonly kind: 'set'; readonly name: string; readonly value: string}
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly statement: PreparedStatement;
    }
  | {readonly kind: 'deallocate'; readonly name: string};

/** An event on a caller's connection. */
export type CallerEvent =
  | {readonly kind: 'open'; readonly database: string; readonly key: string}
  | {
      readonly kind: 'statement';
      readonly id: string;
      readonly statement: CallerStatement;
    }
  /** A message that could not be decoded. */
  | {
      readonly kind: 'malformed';
      readonly id: string;
      readonly detail: string;
    }
  /** A message over the size limit, after which the stream is unreadable. */
  | {readonly kind: 'too-large'}
  /**
   * The caller sends no more, or the connection broke. Requests before it may
   * still be answered.
   */
  | {readonly kind: 'ended'};

/** Why a statement has no result. */
export type SessionRefusalKind =
  /** Not run; the caller may retry after `retryAfterMs`. */
  | 'busy'
  /** Not run, as the workspace's rate limit is used up. */
  | 'rate-limited'
  /** The transaction was rolled back. */
  | 'aborted'
  /** The statement may or may not have taken effect. */
  | 'unknown-outcome'
  /** The member ran it and failed; its effect is not guaranteed either way. */
  | 'failed'
  | 'timed-out'
  | 'bad-key'
  | 'unknown-database'
  | 'unknown-statement'
  | 'malformed'
  | 'too-large';

/** Why a statement or session was refused. */
export interface SessionRefusal {
  readonly kind: SessionRefusalKind;
  readonly detail: string;
  readonly retryAfterMs?: number | undefined;
}

/** The reply to one statement. */
export type SessionReply =
  /** The session handled the statement without a member. */
  | {readonly kind: 'local'}
  | {readonly kind: 'member'; readonly answer: MemberAnswer}
  | {readonly kind: 'refused'; readonly refusal: SessionRefusal};

/** One caller's connection. Encodes replies; the session decides on them. */
export abstract class CallerLink {
  /** Whether the caller is still connected. */
  abstract get isOpen(): boolean;
  /** Confirms that the session is open. */
  abstract accept(): void;
  /** Refuses the session and closes the connection. */
  abstract reject(refusal: SessionRefusal): void;
  /**
   * Replies to a statement. `position` is the log position that the member
   * reported, if it ran there. `not-sent` if the connection has ended.
   */
  abstract reply(
    reply: SessionReply,
    transaction: TransactionState,
    position: LogPosition | undefined,
  ): 'sent' | 'not-sent';
  /**
   * Resolves once the requests that have arrived by now are passed on as events.
   * They can be in a buffer of the operating system for as long as this process
   * is busy.
   */
  abstract receivePending(): Promise<void>;
  /**
   * Asks the caller to close the connection, with a refusal that also answers a
   * request which the caller is sending meanwhile.
   */
  abstract requestClose(refusal: SessionRefusal): void;
  /** Completes the answer of `requestClose` for a request that crossed it. */
  abstract completeRefusal(): void;
  /**
   * Tells what the session holds: bytes of values and prepared statements, and
   * its transaction, which can end without a reply.
   */
  abstract reportState(bytes: number, transaction: TransactionState): void;
  /** Closes the connection after pending replies are delivered. */
  abstract close(): void;
}

/** Receives the events of a caller's connection. */
export type CallerEventSink = (event: CallerEvent) => void;

/** Accepts callers' connections. */
export abstract class CallerServer {
  /** Listens on an address; `onCaller` handles each new connection. */
  abstract listen(
    address: string,
    onCaller: (link: CallerLink) => CallerEventSink,
  ): Promise<void>;
  /**
   * Stops accepting connections. Resolves once both sides of those that are open
   * have ended, so that their callers have received all that was written.
   */
  abstract close(): Promise<void>;
}
