import {ok} from '@pistachiorill/core';
import type {MemberState, Result, StatementResult} from '@pistachiorill/core';
import {BackendConnection} from './backend_connection.js';
import type {BackendCredentials} from './backend_connection.js';
import type {BackendError} from './backend_error.js';
import {GroupControl} from './group_control.js';

/**
 * Runs the control operations as SQL statements on one persistent connection,
 * which is reopened when it has closed.
 */
export class SqlGroupControl extends GroupControl {
  private connection: BackendConnection | undefined;

  constructor(
    private readonly address: string,
    private readonly credentials: BackendCredentials,
    private readonly timeoutMs: number,
  ) {
    super();
  }

  override state(): Promise<Result<MemberState, BackendError>> {
    return this.call('SHOW GROUP STATE');
  }

  override fence(
    term: number,
    owner: string,
  ): Promise<Result<MemberState, BackendError>> {
    return this.call(`CALL group_fence(${term}, ${quote(owner)})`);
  }

  override promote(
    term: number,
    owner: string,
  ): Promise<Result<MemberState, BackendError>> {
    return this.call(`CALL group_promote(${term}, ${quote(owner)})`);
  }

  override follow(
    term: number,
    primary: string,
  ): Promise<Result<MemberState, BackendError>> {
    return this.call(`CALL group_follow(${term}, ${quote(primary)})`);
  }

  override close(): void {
    this.connection?.close();
    this.connection = undefined;
  }

  private async call(sql: string): Promise<Result<MemberState, BackendError>> {
    if (!this.connection?.isUsable) {
      const opened = await BackendConnection.open(
        this.address,
        this.credentials,
        this.timeoutMs,
      );
      if (!opened.ok) return opened;
      this.connection = opened.value;
    }
    const result = await this.connection.query(sql, this.timeoutMs);
    return result.ok ? ok(decodeMemberState(result.value)) : result;
  }
}

/** Decodes the single row of `SHOW GROUP STATE`. */
export function decodeMemberState(result: StatementResult): MemberState {
  const values = new Map<string, string>();
  if (result.kind === 'rows') {
    result.columns.forEach((column, index) => {
      const value = result.rows[0]?.[index];
      values.set(column.name, value ? Buffer.from(value).toString() : '');
    });
  }
  const readNumber = (name: string): number => Number(values.get(name) ?? 0);
  return {
    role: values.get('role') === 'primary' ? 'primary' : 'replica',
    term: readNumber('term'),
    received: {
      term: readNumber('received_term'),
      position: readNumber('received_position'),
    },
    applied: {
      term: readNumber('applied_term'),
      position: readNumber('applied_position'),
    },
    fencedTerm: readNumber('fenced_term'),
    fencedOwner: values.get('fenced_owner') ?? '',
    connections: readNumber('connections'),
    connectionLimit: readNumber('connection_limit'),
    slots: readNumber('slots'),
  };
}

function quote(text: string): string {
  return `'${text.replace(/['\\]/g, '\\$&')}'`;
}
