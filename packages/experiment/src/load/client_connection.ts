import {createConnection} from 'mysql2/promise';
import type {Connection} from 'mysql2/promise';

const CONNECT_TIMEOUT_MS = 1_000;
/** Longer than the deadline of every route, so that the VM responds first. */
const ANSWER_TIMEOUT_MS = 6_000;

/** Whether a request that ended with an error was executed. */
export type ErrorOutcome = 'not-run' | 'unknown' | 'failed';

/** The response to a request, or the error that takes its place. */
export type Answer =
  | {readonly kind: 'done'}
  | {readonly kind: 'rows'; readonly rows: readonly unknown[][]}
  | {
      readonly kind: 'error';
      readonly outcome: ErrorOutcome;
      /**
       * The kind of refusal or error that the VM reported, or `connection` for
       * an error that the VM did not report.
       */
      readonly reason: string;
    };

/** The port and credentials of a connection. */
export interface Login {
  readonly port: number;
  readonly user: string;
  readonly password: string;
  readonly database: string;
}

/** A MySQL connection to one VM, which converts errors into outcomes. */
export class ClientConnection {
  /** The result for requests after the connection was closed. */
  private closedAnswer: Answer | undefined;

  private constructor(
    readonly vm: string,
    private readonly connection: Connection,
  ) {
    connection.on('error', err => {
      this.closedAnswer ??= notSent(toErrorAnswer(err as Error).reason);
    });
    connection.on('end', () => {
      this.closedAnswer ??= notSent('closed');
    });
  }

  /** Opens a connection; returns undefined if the VM does not accept it. */
  static async open(
    vm: string,
    login: Login,
  ): Promise<ClientConnection | undefined> {
    try {
      const connection = await createConnection({
        ...login,
        host: '127.0.0.1',
        connectTimeout: CONNECT_TIMEOUT_MS,
      });
      return new ClientConnection(vm, connection);
    } catch {
      return undefined;
    }
  }

  /** Sends a statement; never rejects. */
  async send(sql: string): Promise<Answer> {
    // On a closed connection the statement is not sent, so it did not run.
    if (this.closedAnswer) return this.closedAnswer;
    try {
      const [result] = await this.connection.query({
        sql,
        timeout: ANSWER_TIMEOUT_MS,
        rowsAsArray: true,
      });
      return Array.isArray(result)
        ? {kind: 'rows', rows: result as unknown[][]}
        : {kind: 'done'};
    } catch (err) {
      return toErrorAnswer(err as {errno?: number; message?: string});
    }
  }

  /** Closes the connection without waiting for a running statement. */
  close(): void {
    this.connection.destroy();
  }
}

function notSent(reason: string): Answer {
  return {kind: 'error', outcome: 'not-run', reason};
}

/** Parses the outcome with which each error message of a VM starts. */
export function toErrorAnswer(err: {
  readonly message?: string;
}): Extract<Answer, {kind: 'error'}> {
  const text = err.message ?? '';
  const match = /^(not run|outcome unknown|failed): ([\w-]+)/.exec(text);
  switch (match?.[1]) {
    case 'not run':
      return {kind: 'error', outcome: 'not-run', reason: match[2] ?? ''};
    case 'failed':
      return {kind: 'error', outcome: 'failed', reason: text.slice(0, 80)};
    case 'outcome unknown':
      return {kind: 'error', outcome: 'unknown', reason: match[2] ?? ''};
    default:
      return {kind: 'error', outcome: 'unknown', reason: 'connection'};
  }
}
