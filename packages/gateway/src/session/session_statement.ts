import type {
  DatabaseRoute,
  PreparedStatement,
  RuntimeConfiguration,
  SessionValues,
  StatementAccess,
} from '@pistachiorill/core';
import type {MemberCommand} from '../ports/member_link.js';
import type {PlacementLog} from './route_moves.js';
import type {SessionPositions} from './session_positions.js';

/** A statement to run on a member, with the state of its session. */
export interface ReceivedStatement {
  readonly id: string;
  readonly database: string;
  readonly key: string;
  readonly receivedAt: number;
  readonly command: MemberCommand;
  /** `commit` ends a transaction without statements, which reads nothing. */
  readonly access: StatementAccess | 'commit';
  readonly prepared?: PreparedStatement | undefined;
  /** The access of the transaction that begins with this statement, if any. */
  readonly begin?: StatementAccess | undefined;
  readonly values: SessionValues;
  /** What reads of the session must see in each group. */
  readonly positions: Pick<SessionPositions, 'of'>;
  readonly placementLog: PlacementLog;
  /** Undefined until the VM has received a configuration. */
  readonly configuration: RuntimeConfiguration | undefined;
}

/** A statement with its route and the workspace that it runs for. */
export interface RoutedStatement extends ReceivedStatement {
  readonly route: DatabaseRoute;
  /** The workspace of the key; a placeholder for anonymous callers. */
  readonly workspace: string;
  readonly caller: 'keyed' | 'anonymous';
  /** Regions whose members may run the statement; empty for all regions. */
  readonly regions: readonly string[];
  /** The time at which the statement times out. */
  readonly deadline: number;
  /**
   * The version of the configuration by which another VM has checked the key of
   * a statement that it forwarded.
   */
  readonly keyCheckedAt?: number | undefined;
}

/** Sent to members in place of a workspace for callers without a key. */
export const ANONYMOUS_WORKSPACE = '-';
