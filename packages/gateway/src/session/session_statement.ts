import type {
  DatabaseRoute,
  LogPosition,
  PreparedStatement,
  ServedConfiguration,
  SessionValues,
  StatementAccess,
} from '@pistachiorill/core';
import type {MemberCommand} from '../ports/member_link.js';

/** A statement that may need a member, with the state of its session. */
export interface ReceivedStatement {
  readonly id: string;
  readonly database: string;
  readonly key: string;
  readonly receivedAt: number;
  readonly command: MemberCommand;
  /** What the statement does; a commit without statements reads nothing. */
  readonly access: StatementAccess | 'commit';
  readonly prepared?: PreparedStatement | undefined;
  /** How the session began the transaction of which this is the first. */
  readonly begin?: StatementAccess | undefined;
  readonly values: SessionValues;
  /** The last commit of the session. */
  readonly seen: LogPosition | undefined;
  /** Undefined until the VM knows a configuration. */
  readonly configuration: ServedConfiguration | undefined;
}

export interface RoutedStatement extends ReceivedStatement {
  readonly route: DatabaseRoute;
  /** The workspace that holds the key, or `anonymous`. */
  readonly workspace: string;
  readonly caller: 'keyed' | 'anonymous';
  readonly regions: readonly string[];
  /** When the member's time for the statement is over. */
  readonly deadline: number;
}

/** The name that members are told for callers without a key. */
export const ANONYMOUS = '-';
