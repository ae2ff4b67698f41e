import type {VersionedConfiguration} from '../configuration/configuration.js';
import type {Route} from '../routing/route.js';
import type {LogPosition} from '../session/log_position.js';
import type {SessionRequirement} from '../session/session_requirement.js';
import type {TransactionScope} from './classify_statement.js';

/**
 * Whether the VM's view of the configuration and the quota shares is proven
 * current.
 */
export type Confirmation = 'confirmed' | 'unconfirmed';

/** Whether the VM accepts new work. */
export type Lifecycle = 'serving' | 'draining';

/**
 * The state of the VM when a statement arrives. All filters use this snapshot
 * instead of later state.
 */
export interface StatementContext {
  readonly activeConfiguration: VersionedConfiguration;
  readonly confirmation: Confirmation;
  readonly lifecycle: Lifecycle;
}

/** The identity that the handshake of a connection has authenticated. */
export type Caller =
  | {readonly kind: 'anonymous'}
  | {
      readonly kind: 'keyed';
      readonly workspace: string;
      readonly keyId: string;
    };

/** A statement as received, with the identity of its connection. */
export interface ReceivedStatement {
  readonly connectionId: string;
  readonly caller: Caller;
  /** The name from the handshake, of a service or of a database. */
  readonly databaseName: string;
  readonly sql: string;
  readonly scope: TransactionScope;
  /** In milliseconds of the VM's monotonic clock, as all times here. */
  readonly receivedAt: number;
  readonly context: StatementContext;
}

/** The kinds of statement that need different handling. */
export type StatementVerb =
  'query' | 'begin' | 'commit' | 'rollback' | 'session-token' | 'no-effect';

/** The options that a caller sets in a comment of the statement. */
export interface StatementOptions {
  /** The name of a route. */
  readonly route?: string;
  /** The session token. */
  readonly session?: string;
  /** Identifies a write, so that a repeat of it is detected. */
  readonly requestId?: string;
  /** The key that selects one of the databases of a service. */
  readonly shard?: string;
  /** Lowers the maximum age of the route. */
  readonly maxAgeMs?: number;
}

/** A statement with its options and its kind. */
export interface ParsedStatement extends ReceivedStatement {
  readonly options: StatementOptions;
  /** The kind of the statement. */
  readonly verb: StatementVerb;
  /** Whether the statement may change data. */
  readonly changesData: boolean;
}

/** A statement with its route, its database and its requirements. */
export interface RoutedStatement extends ParsedStatement {
  readonly route: Route;
  /** The database whose group executes the statement. */
  readonly database: string;
  /** The maximum age of the data; 0 requires current data. */
  readonly maxAgeMs: number;
  /** When the caller stops waiting. */
  readonly deadline: number;
  readonly requirement: SessionRequirement;
}

/** The description of a result column that callers receive. */
export interface ResultColumn {
  readonly name: string;
  readonly table: string;
  readonly characterSet: number;
  readonly columnLength: number;
  readonly type: number;
  readonly flags: number;
  readonly decimals: number;
}

/** The result of a statement from a backend server. */
export type StatementResult =
  | {
      readonly kind: 'rows';
      readonly columns: readonly ResultColumn[];
      readonly rows: ReadonlyArray<ReadonlyArray<Uint8Array | null>>;
    }
  | {
      readonly kind: 'done';
      readonly affectedRows: number;
      readonly insertId: number;
    };

/** The reply to a caller, and the position that its session has now seen. */
export interface StatementReply {
  readonly result: StatementResult;
  readonly database: string;
  /** The log position that later reads of the session must see. */
  readonly seen: LogPosition | undefined;
  /** The backend server that executed the statement. */
  readonly backendServer: string;
  readonly servedBy: 'primary' | 'replica';
}
