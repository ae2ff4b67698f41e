import {createServer} from 'node:http';
import {listen, sleep} from './util.mjs';

const TRANSACTION_MS = 4;
const PAGE_ROWS = 500;
/** The store's machine; it belongs to no zone of the deployment. */
export const STORE = 'store';

/** The platform's store of rows: one server for each VM, with the same rows. */
export class Store {
  #rows = new Map();
  #version = 1;
  #changes = [];
  #waiting = new Set();
  #queue = Promise.resolve();

  constructor(network, clock) {
    this.network = network;
    this.clock = clock;
    network.addMachine(STORE, STORE);
  }

  /** Starts the server of one VM, which sees the members' addresses for it. */
  async serve(vm, addressOf) {
    const server = createServer((req, res) => {
      this.#handle(vm, addressOf, req, res).catch(() => res.destroy());
    });
    return listen(server);
  }

  /** Writes rows of the operator or of a member; `undefined` removes. */
  write(table, key, value) {
    this.#apply([{table, part: '', key, value}]);
  }

  rowsOf(table) {
    return [...this.#rows.values()].filter(row => row.table === table);
  }

  #apply(changes) {
    this.#version++;
    for (const {table, part, key, value} of changes) {
      const id = JSON.stringify([table, part, key]);
      const ver = this.#version;
      const row = {table, part, key, ver};
      if (value === undefined) this.#rows.delete(id);
      else this.#rows.set(id, {...row, value});
      this.#changes.push({id, ...row, removed: value === undefined});
    }
    for (const wake of [...this.#waiting]) wake();
    return this.#version;
  }

  async #handle(vm, addressOf, req, res) {
    const chunks = [];
    for await (const chunk of req) chunks.push(chunk);
    await this.#reachable(vm);
    if (res.destroyed) return;
    const {pathname, searchParams} = new URL(req.url, 'http://store');
    const send = async (status, body) => {
      await this.#reachable(vm);
      if (res.destroyed) return;
      res.writeHead(status, {'content-type': 'application/json'});
      const ver = this.#version;
      res.end(JSON.stringify({ver, nowMs: this.clock() + 1e6, ...body}));
    };
    const encode = row => ({
      ...row,
      value:
        row.value === undefined
          ? undefined
          : Buffer.from(addressOf(row)).toString('base64'),
    });
    switch (`${req.method} ${pathname}`) {
      case 'POST /api/rows-tx': {
        const tx = JSON.parse(Buffer.concat(chunks).toString());
        return this.#transact(tx, res, send, encode);
      }
      case 'GET /api/rows-get':
        return send(200, this.#get(searchParams, encode));
      case 'GET /api/rows-feed':
        return this.#feed(searchParams, res, send, encode);
      default:
        return send(404, {});
    }
  }

  async #transact(tx, res, send, encode) {
    const {expected = [], puts = [], remove = []} = tx;
    const done = this.#queue.then(() => sleep(TRANSACTION_MS));
    this.#queue = done;
    await done;
    if (res.destroyed) return undefined;
    const rowOf = ({table, part, key}) =>
      this.#rows.get(JSON.stringify([table, part, key]));
    const holds = expected.every(item => (rowOf(item)?.ver ?? 0) === item.ver);
    if (!holds) {
      const rows = expected.map(rowOf).filter(Boolean).map(encode);
      return send(412, {rows});
    }
    const ver = this.#apply([
      ...puts.map(({table, part, key, value}) => ({
        table,
        part,
        key,
        value: Buffer.from(value, 'base64').toString(),
      })),
      ...remove.map(({table, part, key}) => ({table, part, key})),
    ]);
    return send(200, {ver});
  }

  #get(query, encode) {
    const from = query.get('from') ?? '';
    const to = query.get('to');
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
    const rows = this.rowsOf(query.get('table'))
      .filter(row => row.part === (query.get('part') ?? ''))
      .filter(({key}) => key >= from && (to === null || key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return {
      rows: rows.slice(0, limit).map(encode),
      morePages: rows.length > limit,
    };
  }

  async #feed(query, res, send, encode) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const until = this.clock() + Math.min(30_000, Number(query.get('waitMs')));
    const changed = () => {
      const newest = new Map();
      for (const change of this.#changes) {
        if (change.table === table && change.ver > after) {
          newest.set(change.id, change);
        }
      }
      return [...newest.values()];
    };
    while (changed().length === 0 && this.clock() < until && !res.destroyed) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.#waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, until - this.clock());
        this.#waiting.add(wake);
      });
    }
    const rows = changed().map(({id, removed, ...row}) =>
      removed ? {...row, removed} : encode(this.#rows.get(id) ?? row),
    );
    return send(200, {rows});
  }

  /** Waits while the VM and the store are cut off from each other. */
  async #reachable(vm) {
    while (!this.network.reaches(vm, STORE)) {
      await new Promise(resolve => {
        const stop = this.network.onChange(() => {
          stop();
          resolve();
        });
      });
    }
  }
}
