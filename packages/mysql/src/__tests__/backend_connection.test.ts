import {afterEach, describe, expect, it} from 'vitest';
import type {Result, StatementResult} from '@pistachiorill/core';
import {ResultBudget} from '@pistachiorill/core';
import {BackendConnection} from '../backend_connection.js';
import type {BackendError} from '../backend_error.js';
import {MysqlServer} from '../mysql_server.js';
import {ServerConnection} from '../server_connection.js';

type Answer = (connection: ServerConnection, sql: string) => void;

const DONE: StatementResult = {kind: 'done', affectedRows: 1, insertId: 0};

const COLUMN = {
  name: 'a',
  table: '',
  characterSet: 63,
  columnLength: 100,
  type: 252,
  flags: 0,
  decimals: 0,
};

describe('BackendConnection', () => {
  const servers: MysqlServer[] = [];
  afterEach(() => {
    for (const server of servers.splice(0)) server.close();
  });

  async function connect(
    answer: Answer,
    results?: ResultBudget,
  ): Promise<BackendConnection> {
    const server = new MysqlServer((raw, id) => {
      const connection = new ServerConnection(raw, id, {
        onHandshake: () => undefined,
        onQuery: sql => answer(connection, sql),
        onUnsupported: () => undefined,
        onClose: () => undefined,
      });
      connection.handshake('8.0.0');
    });
    servers.push(server);
    const port = await server.listen('127.0.0.1:0');
    const credentials = {
      user: 'proxy',
      password: '',
      ...(results ? {results} : {}),
    };
    const opened = await BackendConnection.open(
      `127.0.0.1:${port}`,
      credentials,
      5_000,
    );
    if (!opened.ok) throw new Error(opened.err.detail);
    return opened.value;
  }

  function outcomeOf(result: Result<StatementResult, BackendError>): string {
    return result.ok ? 'answered' : result.err.kind;
  }

  // Guards against a result that exhausts the memory, and against a budget that
  // is not returned when a result ends.
  it('ends a result that is larger than expected', async () => {
    const results = new ResultBudget(3_000_000, 5_000_000);
    const answer: Answer = (server, sql) =>
      server.sendResult({
        kind: 'rows',
        columns: [COLUMN],
        rows: Array.from({length: Number(sql)}, () => [Buffer.alloc(100_000)]),
      });
    const outcomes: string[] = [];
    for (const rows of [20, 40, 20, 20]) {
      const connection = await connect(answer, results);
      const result = await connection.query(String(rows), 5_000);
      outcomes.push(result.ok ? 'answered' : result.err.detail);
      connection.close();
    }
    expect(outcomes).toMatchSnapshot();
  });

  // Guards against a late response that is taken for the response to the next
  // statement on the same connection.
  it('is not reused after a response that arrives after its timeout', async () => {
    let sendLate: () => void = () => undefined;
    const connection = await connect((server, sql) => {
      if (sql === 'LATE') sendLate = () => server.sendResult(DONE);
      else server.sendResult(DONE);
    });
    const late = await connection.query('LATE', 50);
    sendLate();
    const next = await connection.query('NEXT', 5_000);
    expect({
      late: outcomeOf(late),
      next: outcomeOf(next),
      usable: connection.isUsable,
    }).toMatchSnapshot();
  });

  // Guards against a statement that is refused before execution and reported as
  // executed, and the reverse.
  it('distinguishes statements that did not run from failed ones', async () => {
    const connection = await connect((server, sql) => {
      const errno = Number(sql);
      server.sendError({errno, sqlState: 'HY000', message: 'refused'});
    });
    const kinds: Record<string, string> = {};
    for (const errno of ['1290', '1040', '1062', '1213']) {
      kinds[errno] = outcomeOf(await connection.query(errno, 5_000));
    }
    connection.close();
    kinds['closed'] = outcomeOf(await connection.query('1062', 5_000));
    expect(kinds).toMatchSnapshot();
  });
});
