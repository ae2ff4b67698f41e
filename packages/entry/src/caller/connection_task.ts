import {DEFAULT_ROUTE, fail, ok} from '@pistachiorill/core';
import type {
  Caller,
  ParsedStatement,
  Refusal,
  Result,
  RoutedStatement,
  SeenPositions,
  StatementReply,
  StatementResult,
} from '@pistachiorill/core';
import {ServerConnection} from '@pistachiorill/mysql';
import type {
  ClientError,
  HandshakeRequest,
  RawServerConnection,
} from '@pistachiorill/mysql';
import {Task} from '@pistachiorill/tasks';
import type {TransactionHandle} from '../group/group_executor.js';
import {authenticateCaller} from './authenticate_caller.js';
import {oversizedRefusal, toClientError} from './client_error.js';
import type {
  ConnectionDependencies,
  ConnectionMessage,
} from './connection_dependencies.js';
import {
  sessionTokenOf,
  sessionTokenResult,
  withSeenPosition,
} from './session.js';

/** The version that the handshake reports to MySQL clients. */
const SERVER_VERSION = '8.0.0-pistachiorill';

/**
 * The state of the connection's transaction as its caller sees it. After BEGIN
 * it is `begun`, and `open` from its first statement on. A `lost` transaction
 * refuses statements until the caller ends it.
 */
type TransactionState =
  | {readonly kind: 'none'}
  | {readonly kind: 'begun'}
  | {
      readonly kind: 'open';
      readonly database: string;
      readonly handle: TransactionHandle;
    }
  | {readonly kind: 'lost'};

const DONE: StatementResult = {kind: 'done', affectedRows: 0, insertId: 0};

/** Owns the connection of one caller, its transaction and its session. */
export class ConnectionTask extends Task<ConnectionMessage> {
  /** The connection to the caller. */
  readonly connection: ServerConnection;
  private readonly id: string;
  private caller: Caller = {kind: 'anonymous'};
  private databaseName = '';
  private seen: SeenPositions = new Map();
  private transaction: TransactionState = {kind: 'none'};
  private idleTimer: NodeJS.Timeout | undefined;

  constructor(
    raw: RawServerConnection,
    id: number,
    private readonly deps: ConnectionDependencies,
    private readonly onClosed: () => void,
  ) {
    super();
    this.id = String(id);
    this.connection = new ServerConnection(
      raw,
      id,
      {
        onHandshake: req => this.authenticate(req),
        onQuery: sql =>
          this.tell({kind: 'query', sql, receivedAt: deps.clock()}),
        onUnsupported: reason => this.tell({kind: 'unsupported', reason}),
        onOversized: bytes => this.tell({kind: 'oversized', bytes}),
        onClose: () => this.tell({kind: 'closed'}),
      },
      deps.guard,
    );
    this.connection.handshake(SERVER_VERSION);
  }

  protected override async handle(message: ConnectionMessage): Promise<void> {
    switch (message.kind) {
      case 'query':
        await this.query(message.sql, message.receivedAt);
        return;
      case 'unsupported':
        this.refuse({kind: 'unsupported', detail: message.reason});
        return;
      case 'oversized':
        this.refuseOversized(message.bytes);
        return;
      case 'context-changed':
        this.closeIfNotPermitted();
        return;
      case 'transaction-idle':
        await this.endIdleTransaction();
        return;
      case 'closed':
        clearTimeout(this.idleTimer);
        if (this.transaction.kind === 'open') {
          await this.transaction.handle.rollback();
        }
        this.connection.dispose();
        this.onClosed();
        return;
    }
  }

  protected override onFailure(err: unknown): void {
    this.deps.log.error(
      {event: 'connection.failed', connection: this.id, err},
      'connection closed after an internal error',
    );
    this.connection.close();
  }

  private authenticate(req: HandshakeRequest): ClientError | undefined {
    const context = this.deps.context();
    if (!context) {
      return toClientError({
        kind: 'draining',
        detail: 'this VM has no configuration yet',
      });
    }
    if (context.lifecycle === 'draining') {
      return toClientError({
        kind: 'draining',
        detail: 'this VM takes no new connections',
      });
    }
    const caller = authenticateCaller(
      req,
      context.activeConfiguration.configuration,
    );
    if (!caller.ok) return toClientError(caller.err);
    this.caller = caller.value;
    this.databaseName = req.database;
    return undefined;
  }

  /**
   * Closes the connection if its key was revoked, or if this VM drains and no
   * transaction is in progress.
   */
  private closeIfNotPermitted(): void {
    const context = this.deps.context();
    if (!context) return;
    const {caller} = this;
    const granted =
      caller.kind === 'anonymous' ||
      context.activeConfiguration.configuration.workspaces.some(
        item =>
          item.name === caller.workspace &&
          item.keys.some(key => key.id === caller.keyId),
      );
    if (!granted) {
      this.closeWith({kind: 'bad-key', detail: 'the key was withdrawn'});
      return;
    }
    const hasNoTransaction = this.transaction.kind === 'none';
    if (hasNoTransaction && context.lifecycle === 'draining') {
      this.closeWith({kind: 'draining', detail: 'this VM takes no new work'});
    }
  }

  /** Closes the connection. A request already on its way gets the refusal. */
  private closeWith(refusal: Refusal): void {
    this.connection.closeWithError(toClientError(refusal));
  }

  /**
   * Rolls back a transaction that stayed idle for too long, because it occupies
   * one of the few connections to the primary.
   */
  private async endIdleTransaction(): Promise<void> {
    if (this.transaction.kind !== 'open') return;
    await this.transaction.handle.rollback();
    this.transaction = {kind: 'lost'};
    this.connection.setTransaction('none');
  }

  /** Restarts the time limit of an open transaction for its next statement. */
  private restartIdleTimer(): void {
    clearTimeout(this.idleTimer);
    if (this.transaction.kind !== 'open') return;
    this.idleTimer = setTimeout(
      () => this.tell({kind: 'transaction-idle'}),
      this.deps.transactionIdleMs,
    );
  }

  private async query(sql: string, receivedAt: number): Promise<void> {
    clearTimeout(this.idleTimer);
    const context = this.deps.context();
    // A connection closed before this point has already answered the request.
    if (!context || !this.connection.isOpen) return;
    const parsed = await this.deps.parse.run({
      connectionId: this.id,
      caller: this.caller,
      databaseName: this.databaseName,
      sql,
      scope: this.transaction.kind === 'none' ? 'autocommit' : 'transaction',
      receivedAt,
      context,
    });
    const result = parsed.ok ? await this.dispatch(parsed.value) : parsed;
    this.countStatement(result);
    const {kind} = this.transaction;
    this.connection.setTransaction(
      kind === 'begun' || kind === 'open' ? 'open' : 'none',
    );
    if (result.ok) {
      this.connection.sendResult(result.value);
    } else {
      this.refuse(result.err);
    }
    this.restartIdleTimer();
    this.closeIfNotPermitted();
  }

  private async dispatch(
    statement: ParsedStatement,
  ): Promise<Result<StatementResult, Refusal>> {
    switch (statement.verb) {
      case 'no-effect':
        return ok(DONE);
      case 'session-token':
        return ok(sessionTokenResult(this.token(statement)));
      case 'begin':
        return this.begin();
      case 'commit':
        return this.commit(statement);
      case 'rollback':
        return this.rollback();
      case 'query':
        return this.execute(statement);
    }
  }

  private async execute(
    statement: ParsedStatement,
  ): Promise<Result<StatementResult, Refusal>> {
    if (this.transaction.kind === 'lost') {
      return fail({
        kind: 'transaction-lost',
        detail: 'the transaction has failed; send ROLLBACK first',
      });
    }
    const routed = await this.deps.route.run(this.withSession(statement));
    if (!routed.ok) return routed;
    const reply =
      this.transaction.kind === 'none'
        ? await this.deps.execute.run(routed.value)
        : await this.executeInTransaction(routed.value);
    return this.finish(routed.value, reply);
  }

  private async executeInTransaction(
    statement: RoutedStatement,
  ): Promise<Result<StatementReply, Refusal>> {
    const open = await this.openTransaction(statement);
    if (!open.ok) return open;
    const result = await open.value.execute(statement);
    if (!result.ok && result.err.kind === 'transaction-lost') {
      this.transaction = {kind: 'lost'};
    }
    return result;
  }

  /** Opens the transaction at its first statement, which names the database. */
  private async openTransaction(
    statement: RoutedStatement,
  ): Promise<Result<TransactionHandle, Refusal>> {
    if (this.transaction.kind === 'open') {
      if (this.transaction.database === statement.database) {
        return ok(this.transaction.handle);
      }
      return fail({
        kind: 'unsupported',
        detail: 'a transaction cannot span databases',
      });
    }
    const executor = this.deps.findExecutor(statement.database);
    const begun = await executor?.begin({
      ...statement,
      changesData: true,
    });
    if (!begun?.ok) {
      return (
        begun ??
        fail({kind: 'no-member', detail: `${statement.database} is not served`})
      );
    }
    this.transaction = {
      kind: 'open',
      database: statement.database,
      handle: begun.value,
    };
    return begun;
  }

  private async begin(): Promise<Result<StatementResult, Refusal>> {
    if (this.transaction.kind === 'open') {
      return fail({
        kind: 'unsupported',
        detail: 'a transaction is open; send COMMIT or ROLLBACK first',
      });
    }
    this.transaction = {kind: 'begun'};
    return ok(DONE);
  }

  private async commit(
    statement: ParsedStatement,
  ): Promise<Result<StatementResult, Refusal>> {
    const {transaction} = this;
    this.transaction = {kind: 'none'};
    if (transaction.kind === 'lost') {
      return fail({
        kind: 'transaction-lost',
        detail: 'the transaction was rolled back',
      });
    }
    if (transaction.kind !== 'open') return ok(DONE);
    const reply = await transaction.handle.commit(
      statement.receivedAt + DEFAULT_ROUTE.deadlineMs,
    );
    if (reply.ok && reply.value.seen) {
      const {database, seen} = reply.value;
      this.seen = withSeenPosition(this.seen, database, seen);
    }
    return reply.ok ? ok(reply.value.result) : reply;
  }

  private async rollback(): Promise<Result<StatementResult, Refusal>> {
    const {transaction} = this;
    this.transaction = {kind: 'none'};
    if (transaction.kind === 'open') await transaction.handle.rollback();
    return ok(DONE);
  }

  /** Records the metrics and the seen position of an executed statement. */
  private finish(
    statement: RoutedStatement,
    reply: Result<StatementReply, Refusal>,
  ): Result<StatementResult, Refusal> {
    if (!reply.ok) return reply;
    const {metrics, clock} = this.deps;
    const access = statement.changesData ? 'write' : 'read';
    metrics.statementSeconds.observe(
      {access},
      (clock() - statement.receivedAt) / 1_000,
    );
    if (access === 'read') metrics.reads.inc({served_by: reply.value.servedBy});
    const {database, seen} = reply.value;
    if (seen) this.seen = withSeenPosition(this.seen, database, seen);
    return ok(reply.value.result);
  }

  /** Adds this connection's session token to a statement that has none. */
  private withSession(statement: ParsedStatement): ParsedStatement {
    if (statement.options.session !== undefined || this.seen.size === 0) {
      return statement;
    }
    const session = this.token(statement);
    return {...statement, options: {...statement.options, session}};
  }

  private token(statement: ParsedStatement): string {
    const {configuration} = statement.context.activeConfiguration;
    return sessionTokenOf(this.caller, this.seen, configuration);
  }

  private refuseOversized(bytes: number): void {
    const limit = this.deps.guard.limits.packetBytes - 1;
    const refusal = oversizedRefusal(bytes, limit);
    this.countStatement(fail(refusal));
    this.refuse(refusal);
  }

  private refuse(refusal: Refusal): void {
    this.connection.sendError(toClientError(refusal));
  }

  private countStatement(result: Result<StatementResult, Refusal>): void {
    const workspace = this.caller.kind === 'keyed' ? this.caller.workspace : '';
    const outcome = result.ok ? 'ok' : result.err.kind;
    this.deps.metrics.statements.inc({workspace, outcome});
  }
}
