import {createServer} from 'node:http';

const PAGE_ROWS = 500;

/** Now, on the store's steady clock. */
export function nowMs() {
  return Math.floor(performance.now()) + 1_000_000;
}

/** The rows of the platform's metadata store. */
export class Rows {
  constructor() {
    this.ver = 0;
    this.rows = new Map();
    this.waiters = new Set();
  }

  static idOf({table, part = '', key}) {
    return `${table}\0${part}\0${key}`;
  }

  verOf(row) {
    const found = this.rows.get(Rows.idOf(row));
    return found && !found.removed ? found.ver : 0;
  }

  /** Applies a transaction, or returns the rows that don't have their version. */
  transact({expected = [], puts = [], remove = []}) {
    const others = expected.filter(row => this.verOf(row) !== row.ver);
    if (others.length > 0) {
      return others.flatMap(row => this.rows.get(Rows.idOf(row)) ?? []);
    }
    this.ver++;
    for (const {table, part = '', key, value} of puts) {
      const row = {table, part, key, value, ver: this.ver};
      this.rows.set(Rows.idOf(row), row);
    }
    for (const {table, part = '', key} of remove) {
      const row = {table, part, key, ver: this.ver, removed: true};
      this.rows.set(Rows.idOf(row), row);
    }
    for (const wake of [...this.waiters]) wake();
    return undefined;
  }

  /** Writes one row as operators and servers do. */
  put(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.transact({puts: [{table, key, value: text}]});
  }

  remove(table, key) {
    this.transact({remove: [{table, key}]});
  }

  /** Returns the decoded value of a row. */
  get(table, key) {
    const row = this.rows.get(Rows.idOf({table, key}));
    if (!row || row.removed) return undefined;
    return JSON.parse(Buffer.from(row.value, 'base64').toString());
  }

  list(table, after = -1) {
    return [...this.rows.values()]
      .filter(row => row.table === table && row.ver > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  changed(ms) {
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.waiters.add(wake);
    });
  }
}

/**
 * The store as one machine reaches it. `mode` is `ok`, `busy` (503), `many`
 * (429), `reset` or `silent`; `slowMs` delays each answer.
 */
export class StoreFront {
  constructor(rows, view = row => row) {
    this.rows = rows;
    this.view = view;
    this.mode = 'ok';
    this.slowMs = 4;
    /** Called before a transaction is applied; may return `lost` or `late`. */
    this.onTransaction = undefined;
    /** Called with each call that was answered. */
    this.onCall = undefined;
    this.sockets = new Set();
    this.server = createServer((req, res) => {
      this.handle(req, res).catch(() => res.destroy());
    });
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async handle(req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    if (this.refuses(req, res)) return;
    await new Promise(resolve => setTimeout(resolve, this.slowMs));
    if (this.refuses(req, res)) return;
    const url = new URL(req.url, 'http://store');
    const query = Object.fromEntries(url.searchParams);
    if (url.pathname === '/api/rows-get') this.read(res, query);
    else if (url.pathname === '/api/rows-feed')
      await this.feed(req, res, query);
    else if (url.pathname === '/api/rows-tx') {
      this.transact(req, res, JSON.parse(Buffer.concat(chunks).toString()));
    } else this.send(res, 404, {});
    this.onCall?.(req.method, req.url, res.statusCode);
  }

  /** Turns a call away, if this machine is turned away. */
  refuses(req, res) {
    switch (this.mode) {
      case 'busy':
        this.send(res, 503, {});
        return true;
      case 'many':
        this.send(res, 429, {});
        return true;
      case 'reset':
        req.socket.resetAndDestroy();
        return true;
      case 'silent':
        return true;
      default:
        return false;
    }
  }

  read(res, {table, from = '', limit}) {
    const size = Math.min(PAGE_ROWS, Number(limit ?? PAGE_ROWS));
    const all = this.rows
      .list(table)
      .filter(row => !row.removed && row.key >= from);
    this.reply(res, all.slice(0, size), all.length > size);
  }

  async feed(req, res, {table, after, waitMs}) {
    const until = performance.now() + Number(waitMs ?? 0);
    let rows = this.rows.list(table, Number(after));
    while (rows.length === 0 && performance.now() < until) {
      await this.rows.changed(until - performance.now());
      if (this.refuses(req, res)) return;
      rows = this.rows.list(table, Number(after));
    }
    this.reply(
      res,
      rows.sort((a, b) => a.ver - b.ver),
    );
  }

  transact(req, res, transaction) {
    const fate = this.onTransaction?.(transaction) ?? 'ok';
    if (fate === 'lost-before') {
      req.socket.resetAndDestroy();
      return;
    }
    if (typeof fate === 'number') {
      // Performed later if its condition still holds, and not answered.
      setTimeout(() => this.rows.transact(transaction), fate);
      return;
    }
    const others = this.rows.transact(transaction);
    if (fate === 'lost') {
      req.socket.resetAndDestroy();
      return;
    }
    if (others) this.reply(res, others, false, 412);
    else this.reply(res, []);
  }

  reply(res, rows, morePages = false, status = 200) {
    this.send(res, status, {
      rows: rows.map(row => this.view(row)),
      ver: this.rows.ver,
      nowMs: nowMs(),
      morePages,
    });
  }

  send(res, status, body) {
    res.writeHead(status, {'content-type': 'application/json'});
    res.end(JSON.stringify(body));
  }
}
