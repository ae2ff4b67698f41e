// Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's
// metadata store") and of the operator, who writes to it.
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';

const TX_MS = 4;
const PAGE_ROWS = 500;

/** Rows in tables under one counter, served over HTTP. */
export class Store {
  constructor(record) {
    this.record = record;
    this.rows = new Map();
    this.ver = 0;
    /** Writing calls, of VMs and members, done or not. */
    this.writeCalls = 0;
    this.waiters = new Set();
    /**
     * Decides how a transaction that holds a condition or comes from a VM is
     * treated: undefined for the usual answer, or `{lateMs}` for one that is
     * done after that time, if its condition still holds, and not answered.
     */
    this.fault = () => undefined;
    this.server = createServer((req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    });
  }

  async listen(host) {
    await new Promise(resolve => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  get(table, key) {
    const row = this.rows.get(`${table} ${key}`);
    return row && !row.removed ? row : undefined;
  }

  /** Writes rows without HTTP, as the operator and the members do. */
  write(changes) {
    this.ver++;
    for (const {table, key, value} of changes) {
      const removed = value === undefined;
      this.rows.set(`${table} ${key}`, {
        table,
        part: '',
        key,
        value: removed ? '' : value,
        ver: this.ver,
        ...(removed ? {removed} : {}),
      });
    }
    for (const wake of this.waiters) wake();
    return this.ver;
  }

  /** Writes a JSON value. */
  put(table, key, value) {
    this.writeCalls++;
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    return this.write([{table, key, value: text}]);
  }

  drop(table, key) {
    return this.write([{table, key, value: undefined}]);
  }

  async handle(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    const url = new URL(req.url, 'http://store');
    const query = name => url.searchParams.get(name) ?? '';
    if (url.pathname === '/api/rows-tx') {
      await this.transact(res, JSON.parse(Buffer.concat(chunks).toString()));
    } else if (url.pathname === '/api/rows-get') {
      this.read(res, query('table'), query('from'), Number(query('limit')));
    } else if (url.pathname === '/api/rows-feed') {
      const waitMs = Math.min(30_000, Number(query('waitMs')));
      await this.feed(res, query('table'), Number(query('after')), waitMs);
    } else {
      this.send(res, 404, {});
    }
  }

  read(res, table, from, limit) {
    const rows = [...this.rows.values()]
      .filter(row => row.table === table && !row.removed && row.key >= from)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = rows.slice(0, Math.min(PAGE_ROWS, limit || PAGE_ROWS));
    this.send(res, 200, {rows: page, morePages: page.length < rows.length});
  }

  async feed(res, table, after, waitMs) {
    const changed = () =>
      [...this.rows.values()]
        .filter(row => row.table === table && row.ver > after)
        .sort((a, b) => a.ver - b.ver);
    const until = performance.now() + waitMs;
    while (changed().length === 0 && performance.now() < until) {
      await new Promise(resolve => {
        const timer = setTimeout(wake, until - performance.now());
        const {waiters} = this;
        function wake() {
          clearTimeout(timer);
          waiters.delete(wake);
          resolve();
        }
        waiters.add(wake);
      });
      if (res.destroyed) return;
    }
    this.send(res, 200, {rows: changed()});
  }

  async transact(res, tx) {
    this.writeCalls++;
    const fault = this.fault(tx);
    await sleep(TX_MS);
    if (fault) {
      await sleep(fault.lateMs);
      const outcome = this.apply(tx);
      this.record(
        `store: did ${fault.name} late, unanswered: ${outcome}; ` +
          `${this.writeCalls} writing calls so far`,
      );
      res.destroy();
      return;
    }
    if (this.apply(tx) === 'done') {
      this.send(res, 200, {});
      return;
    }
    const current = tx.expected.flatMap(({table, key}) => {
      const row = this.get(table, key);
      return row ? [row] : [];
    });
    this.send(res, 412, {rows: current});
  }

  apply({expected = [], puts = [], remove = []}) {
    const holds = expected.every(
      ({table, key, ver}) => (this.get(table, key)?.ver ?? 0) === ver,
    );
    if (!holds) return 'condition failed';
    this.write([
      ...puts.map(({table, key, value}) => ({table, key, value})),
      ...remove.map(({table, key}) => ({table, key, value: undefined})),
    ]);
    return 'done';
  }

  send(res, status, body) {
    if (res.destroyed) return;
    res.writeHead(status, {'content-type': 'application/json'});
    const nowMs = Math.floor(performance.now());
    res.end(JSON.stringify({...body, ver: this.ver, nowMs}));
  }
}

/** The JSON value of a row that a transaction writes, if it writes the key. */
export function valueOf(tx, key) {
  const put = (tx.puts ?? []).find(item => item.key === key);
  return put && JSON.parse(Buffer.from(put.value, 'base64').toString());
}

export function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}
