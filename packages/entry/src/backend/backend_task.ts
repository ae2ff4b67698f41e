import {fail} from '@pistachiorill/core';
import type {Result, StatementResult} from '@pistachiorill/core';
import {BackendConnection} from '@pistachiorill/mysql';
import type {BackendCredentials, BackendError} from '@pistachiorill/mysql';
import {Task} from '@pistachiorill/tasks';
import type {Reply} from '@pistachiorill/tasks';

/** Time limit for opening a connection, within that of the statement. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Messages that a `BackendTask` handles. */
export type BackendMessage =
  | {
      readonly kind: 'execute';
      readonly sql: string;
      readonly timeoutMs: number;
      readonly reply: Reply<Result<StatementResult, BackendError>>;
    }
  | {readonly kind: 'close'};

/**
 * Owns one data connection to a backend server. The first statement opens the
 * connection. It is not reopened after a loss, because no caller may continue
 * in the transaction of another.
 */
export class BackendTask extends Task<BackendMessage> {
  private connection: BackendConnection | undefined;
  private state: 'new' | 'open' | 'closed' = 'new';

  constructor(
    readonly backendServer: string,
    private readonly address: string,
    private readonly credentials: BackendCredentials,
    private readonly onFault: (err: unknown) => void,
  ) {
    super();
  }

  /** Does not await the answer, so that a close can end a running statement. */
  protected override handle(message: BackendMessage): void {
    if (message.kind === 'close') {
      this.state = 'closed';
      this.connection?.close();
      return;
    }
    void this.execute(message.sql, message.timeoutMs).then(
      message.reply.answer,
      this.onFault,
    );
  }

  protected override onFailure(err: unknown): void {
    this.onFault(err);
  }

  /** Whether the connection is new or is not known to be closed. */
  get usable(): boolean {
    return this.state === 'new' || this.connection?.isUsable === true;
  }

  /** Whether the task was closed, also while its connection was opening. */
  private isClosed(): boolean {
    return this.state === 'closed';
  }

  private async execute(
    sql: string,
    timeoutMs: number,
  ): Promise<Result<StatementResult, BackendError>> {
    if (this.state === 'new') {
      const opened = await BackendConnection.open(
        this.address,
        this.credentials,
        Math.min(timeoutMs, CONNECT_TIMEOUT_MS),
      );
      if (!opened.ok) {
        this.state = 'closed';
        return opened;
      }
      this.connection = opened.value;
      if (this.isClosed()) this.connection.close();
      this.state = 'open';
    }
    if (!this.connection) {
      return fail({kind: 'not-run', errno: 0, detail: 'connection closed'});
    }
    return this.connection.query(sql, timeoutMs);
  }
}
