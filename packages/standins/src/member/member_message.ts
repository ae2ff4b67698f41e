import type {
  LogPosition,
  MemberState,
  Result,
  StatementResult,
} from '@pistachiorill/core';
import type {Reply} from '@pistachiorill/tasks';
import type {LogEntry} from './log_entry.js';
import type {MemberError} from './member_error.js';
import type {LogReply} from './member_log.js';

type ControlReply = Reply<Result<MemberState, MemberError>>;

/** Messages to `MemberTask`, which owns the log and the data of a member. */
export type MemberMessage =
  | {
      readonly kind: 'statement';
      readonly session: number;
      readonly sql: string;
      readonly reply: Reply<Result<StatementResult, MemberError>>;
    }
  | {
      readonly kind: 'open-session';
      readonly session: number;
      readonly reply: Reply<Result<void, MemberError>>;
    }
  | {readonly kind: 'close-session'; readonly session: number}
  | {readonly kind: 'state'; readonly reply: ControlReply}
  | {
      readonly kind: 'fence' | 'promote';
      readonly term: number;
      readonly owner: string;
      readonly reply: ControlReply;
    }
  | {
      readonly kind: 'follow';
      readonly term: number;
      readonly primary: string;
      readonly reply: ControlReply;
    }
  | {
      readonly kind: 'read-log';
      readonly term: number;
      readonly end: LogPosition;
      readonly reply: Reply<Result<LogReply, MemberError>>;
    }
  | {
      readonly kind: 'replicated';
      readonly term: number;
      readonly log: LogReply;
      readonly reply: Reply<LogPosition>;
    }
  | {readonly kind: 'apply-next'};

export type {LogEntry};
