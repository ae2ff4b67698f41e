import {createConnection as createSocket} from 'node:net';
import type {Socket} from 'node:net';
import {createConnection} from 'mysql2';
import type {Connection, FieldPacket, QueryError} from 'mysql2';
import {fail, ok} from '@pistachiorill/core';
import type {
  Result,
  ResultBudget,
  ResultColumn,
  StatementResult,
} from '@pistachiorill/core';
import {MYSQL_ERRNO} from './backend_error.js';
import type {BackendError} from './backend_error.js';

/** How to connect to a backend server, and how much it may answer. */
export interface BackendCredentials {
  readonly user: string;
  readonly password: string;
  /** Local address to connect from; by default the system chooses one. */
  readonly localAddress?: string;
  /** Shared by the connections of a process; by default without a limit. */
  readonly results?: ResultBudget;
}

/** Error numbers that guarantee that the statement was not executed. */
const REFUSED_BEFORE_EXECUTION: ReadonlySet<number> = new Set([
  MYSQL_ERRNO.optionPreventsStatement,
  MYSQL_ERRNO.tooManyConnections,
]);

/** Field attributes that mysql2 sets but its types do not declare. */
interface RawField extends FieldPacket {
  readonly characterSet: number;
  readonly columnLength: number;
  readonly type: number;
}

type RawRow = Array<Buffer | null>;

/**
 * One connection to a backend server. A connection is closed unless the whole
 * response to a statement was read, so that a late response is never taken for
 * the response to the next statement.
 */
export class BackendConnection {
  private state: 'open' | 'closed' = 'open';
  /**
   * Settles the pending statement as `lost`. Needed because mysql2 never calls
   * back for a statement that is pending when the connection is destroyed.
   */
  private failPending: ((detail: string) => void) | undefined;

  private readonly stream: Socket;
  /** Bytes of the result that arrives. */
  private resultBytes = 0;

  private constructor(
    private readonly connection: Connection,
    private readonly results: ResultBudget | undefined,
  ) {
    this.stream = (connection as unknown as {readonly stream: Socket}).stream;
    if (results) {
      this.stream.on('data', chunk => this.limitResult(chunk, results));
    }
    connection.on('error', () => this.close());
    connection.on('end', () => this.close());
  }

  /** Opens a connection and authenticates. */
  static open(
    address: string,
    credentials: BackendCredentials,
    timeoutMs: number,
  ): Promise<Result<BackendConnection, BackendError>> {
    const {host, port} = splitAddress(address);
    const {localAddress} = credentials;
    const connection = createConnection({
      ...(localAddress === undefined
        ? {}
        : {stream: () => connectSocketFrom(localAddress, host, port)}),
      host,
      port,
      user: credentials.user,
      password: credentials.password,
      connectTimeout: timeoutMs,
      rowsAsArray: true,
      typeCast: field => field.buffer(),
    });
    return new Promise(resolve => {
      connection.once('error', () => undefined);
      connection.connect(err => {
        if (!err) {
          resolve(ok(new BackendConnection(connection, credentials.results)));
          return;
        }
        connection.destroy();
        resolve(fail(toNotRun(err)));
      });
    });
  }

  /** Whether the connection can run another statement. */
  get isUsable(): boolean {
    return this.state === 'open';
  }

  /** Runs one statement. Closes the connection on a timeout. */
  query(
    sql: string,
    timeoutMs: number,
  ): Promise<Result<StatementResult, BackendError>> {
    if (this.state === 'closed') {
      return Promise.resolve(
        fail({kind: 'not-run', errno: 0, detail: 'the connection is closed'}),
      );
    }
    return new Promise(resolve => {
      const timer = setTimeout(
        () => this.close(`no answer in ${timeoutMs} ms`),
        timeoutMs,
      );
      const settle = (result: Result<StatementResult, BackendError>): void => {
        clearTimeout(timer);
        this.failPending = undefined;
        this.releaseResult();
        resolve(result);
      };
      this.failPending = detail => settle(fail({kind: 'lost', detail}));
      this.connection.query(sql, (err, rows, fields) => {
        settle(err ? this.failed(err) : ok(toResult(rows, fields)));
      });
    });
  }

  /** Closes the connection. A pending statement fails as `lost`. */
  close(detail = 'the connection was closed'): void {
    this.state = 'closed';
    this.connection.destroy();
    this.failPending?.(detail);
  }

  /**
   * Closes the connection if the result exceeds a limit. The statement may have
   * had its effect, so it counts as lost.
   */
  private limitResult(chunk: Buffer, results: ResultBudget): void {
    if (!this.failPending) return;
    const decision = results.add(this.resultBytes, chunk.length);
    this.resultBytes += chunk.length;
    if (decision === 'keep') return;
    // `close` only ends the connection, so that the rest would still be read.
    this.stream.destroy();
    this.close(
      decision === 'too-large'
        ? `the result has more than ${results.resultBytes} bytes`
        : 'too many large results at a time',
    );
  }

  private releaseResult(): void {
    this.results?.release(this.resultBytes);
    this.resultBytes = 0;
  }

  private failed(err: QueryError): Result<StatementResult, BackendError> {
    if (err.errno === undefined || err.fatal) {
      this.failPending = undefined;
      this.close();
      return fail({kind: 'lost', detail: err.code ?? err.message});
    }
    if (REFUSED_BEFORE_EXECUTION.has(err.errno)) return fail(toNotRun(err));
    return fail({
      kind: 'statement-error',
      errno: err.errno,
      sqlState: err.sqlState ?? 'HY000',
      detail: err.message,
    });
  }
}

function connectSocketFrom(
  localAddress: string,
  host: string,
  port: number,
): Socket {
  const socket = createSocket({host, port, localAddress});
  socket.setNoDelay(true);
  return socket;
}

/** Splits `host:port`. The host may be an IPv6 address in brackets. */
export function splitAddress(address: string): {host: string; port: number} {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[(.*)\]$/, '$1');
  return {host, port: Number(address.slice(colon + 1))};
}

function toNotRun(err: QueryError): BackendError {
  return {
    kind: 'not-run',
    errno: err.errno ?? 0,
    detail: err.code ?? err.message,
  };
}

function toResult(rows: unknown, fields: FieldPacket[]): StatementResult {
  if (!Array.isArray(rows)) {
    const header = rows as {affectedRows: number; insertId: number};
    return {
      kind: 'done',
      affectedRows: header.affectedRows,
      insertId: header.insertId,
    };
  }
  return {
    kind: 'rows',
    columns: (fields as RawField[]).map(toColumn),
    rows: rows as RawRow[],
  };
}

function toColumn(field: RawField): ResultColumn {
  return {
    name: field.name,
    table: field.table,
    characterSet: field.characterSet,
    columnLength: field.columnLength,
    type: field.type,
    flags: Number(field.flags),
    decimals: field.decimals,
  };
}
