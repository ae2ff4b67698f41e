import type {
  LogPosition,
  PreparedStatement,
  StatementAccess,
} from '@pistachiorill/core';
import type {MemberAnswer, TransactionState} from './member_link.js';

/** A caller's statement. */
export type CallerStatement =
  | {readonly kind: 'begin'; readonly access: StatementAccess}
  | {readonly kind: 'commit'}
  | {readonly kind: 'rollback'}
  | {
      readonly kind: 'statement';
      readonly access: StatementAccess;
      /** The text as it goes to a member. */
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

/** What a caller sends on its connection. */
export type CallerEvent =
  | {readonly kind: 'open'; readonly database: string; readonly key: string}
  | {
      readonly kind: 'statement';
      readonly id: string;
      readonly statement: CallerStatement;
    }
  | {
      readonly kind: 'malformed';
      readonly id: string;
      readonly detail: string;
    }
  /** A message that is too large to be read, after which nothing can be. */
  | {readonly kind: 'too-large'}
  | {readonly kind: 'ended'};

/** Why a statement has no result. */
export type SessionRefusalKind =
  /** Not run; the caller may come back after `retryAfterMs`. */
  | 'busy'
  /** The workspace spent its rate; not run. */
  | 'rate-limited'
  /** The transaction was rolled back. */
  | 'aborted'
  | 'unknown-outcome'
  /** The member ran it and failed; nothing is promised. */
  | 'failed'
  | 'timed-out'
  | 'bad-key'
  | 'unknown-database'
  | 'unknown-statement'
  | 'malformed'
  | 'too-large';

export interface SessionRefusal {
  readonly kind: SessionRefusalKind;
  readonly detail: string;
  readonly retryAfterMs?: number | undefined;
}

/** The answer to one statement. */
export type SessionReply =
  | {readonly kind: 'local'}
  | {readonly kind: 'member'; readonly answer: MemberAnswer}
  | {readonly kind: 'refused'; readonly refusal: SessionRefusal};

/** One caller's connection; it encodes what the session decides. */
export abstract class CallerLink {
  abstract get isOpen(): boolean;
  /** Answers the request to open a session. */
  abstract accept(): void;
  /** Refuses the session and closes the connection. */
  abstract reject(refusal: SessionRefusal): void;
  abstract reply(
    reply: SessionReply,
    transaction: TransactionState,
    position: LogPosition | undefined,
  ): void;
  /** Closes after what was written is delivered. */
  abstract close(): void;
}

/** Where a caller's link delivers what it reads. */
export type CallerEventSink = (event: CallerEvent) => void;

/** Accepts callers' connections. */
export abstract class CallerServer {
  abstract listen(
    address: string,
    onCaller: (link: CallerLink) => CallerEventSink,
  ): Promise<void>;
  /** Takes no new connections. */
  abstract close(): void;
}
