import initSqlJs from 'sql.js';
import type {Database, SqlJsStatic} from 'sql.js';
import {fail, ok} from '@pistachiorill/core';
import type {Result, StatementResult} from '@pistachiorill/core';
import type {MemberError} from './member_error.js';
import {toRowsResult} from './rows_result.js';

/**
 * The data of a member in two copies: `committed` serves reads, `working` also
 * holds the changes of the one open write transaction. Other sessions see a
 * transaction only after its commit.
 */
export class Storage {
  private committed: Database;
  private working: Database;

  private constructor(private readonly engine: SqlJsStatic) {
    this.committed = new engine.Database();
    this.working = new engine.Database();
  }

  /** Loads the SQL engine and returns an empty storage. */
  static async create(): Promise<Storage> {
    return new Storage(await initSqlJs());
  }

  /** Reads the committed data. */
  read(sql: string): Result<StatementResult, MemberError> {
    return run(this.committed, sql);
  }

  /** Reads inside the open write transaction, including its own changes. */
  readUncommitted(sql: string): Result<StatementResult, MemberError> {
    return run(this.working, sql);
  }

  /** Opens the write transaction. */
  begin(): void {
    this.working.run('BEGIN');
  }

  /** Runs a statement that changes data inside the open write transaction. */
  write(sql: string): Result<StatementResult, MemberError> {
    return run(this.working, sql);
  }

  /** Discards the open write transaction. */
  rollback(): void {
    this.working.run('ROLLBACK');
  }

  /** Commits the write transaction and repeats its statements for readers. */
  commit(statements: readonly string[]): void {
    this.working.run('COMMIT');
    for (const sql of statements) run(this.committed, sql);
  }

  /** Applies a replicated transaction to both copies. */
  apply(statements: readonly string[]): void {
    for (const sql of statements) {
      run(this.working, sql);
      run(this.committed, sql);
    }
  }

  /** Removes all data, before it is rebuilt from the log. */
  reset(): void {
    this.committed.close();
    this.working.close();
    this.committed = new this.engine.Database();
    this.working = new this.engine.Database();
  }
}

function run(
  database: Database,
  sql: string,
): Result<StatementResult, MemberError> {
  try {
    const statement = database.prepare(sql);
    try {
      const columns = statement.getColumnNames();
      if (columns.length === 0) {
        statement.run();
        return ok(doneResult(database));
      }
      const rows = [];
      while (statement.step()) rows.push(statement.get());
      return ok(toRowsResult(columns, rows));
    } finally {
      statement.free();
    }
  } catch (err) {
    return fail(toMemberError(err as Error));
  }
}

function doneResult(database: Database): StatementResult {
  const found = database.exec('SELECT last_insert_rowid()')[0]?.values[0]?.[0];
  return {
    kind: 'done',
    affectedRows: database.getRowsModified(),
    insertId: Number(found ?? 0),
  };
}

function toMemberError(err: Error): MemberError {
  const detail = err.message;
  if (detail.includes('UNIQUE constraint')) {
    return {kind: 'duplicate-key', detail};
  }
  if (detail.startsWith('no such table')) {
    return {kind: 'no-such-table', detail};
  }
  return {kind: 'statement', detail};
}
