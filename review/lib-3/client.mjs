import {createConnection} from 'node:net';
import {Lines, splitWord} from './line.mjs';

const PROMISES = new Set([
  'BUSY',
  'ABORTED',
  'LAGGING',
  'READONLY',
  'MISROUTED',
  'TOOMANY',
]);

/** One session of a client. */
export class Client {
  constructor(address) {
    const [host, port] = address.split(':');
    this.lines = new Lines();
    this.rows = [];
    this.closed = false;
    this.socket = createConnection({host, port: Number(port), noDelay: true});
    this.socket.on('data', chunk => {
      for (const line of this.lines.push(chunk)) this.line(line);
    });
    this.socket.on('error', () => this.lost('error'));
    this.socket.on('end', () => this.lost('end'));
    this.socket.on('close', () => this.lost('close'));
  }

  /** Opens a session; undefined if it is not accepted. */
  static async open(address, database, key, ms = 2_000) {
    const client = new Client(address);
    const answer = await client.exchange(`STARTUP ${database} ${key}`, ms);
    if (answer.kind === 'done') return client;
    client.close();
    return undefined;
  }

  /** Sends a statement; returns how it was answered. */
  query(id, text, ms = 2_000) {
    return this.exchange(`QUERY ${id} ${text}`, ms);
  }

  exchange(line, ms) {
    if (this.closed) return Promise.resolve({kind: 'none', detail: 'closed'});
    return new Promise(resolve => {
      const timer = setTimeout(() => this.lost('gave up'), ms);
      this.pending = answer => {
        clearTimeout(timer);
        resolve(answer);
      };
      this.socket.write(`${line}\r\n`, 'latin1');
    });
  }

  line(line) {
    const [word, rest] = splitWord(line);
    if (!this.pending) {
      this.close();
      return;
    }
    if (word === 'DATAROW') this.rows.push(rest);
    else if (word === 'COMPLETE') {
      this.outcome = {kind: 'done', signature: rest, rows: this.rows};
    } else if (word === 'ERROR') {
      const [code] = splitWord(rest);
      const promise = PROMISES.has(code);
      this.outcome = {kind: 'error', code, promise, text: rest};
    } else if (word === 'READY') {
      const outcome = this.outcome ?? {kind: 'done'};
      this.finish({...outcome, state: splitWord(rest)[0]});
    }
  }

  lost(detail) {
    this.closed = true;
    this.socket.destroy();
    if (this.outcome?.kind === 'error') this.finish(this.outcome);
    else this.finish({kind: 'none', detail});
  }

  finish(answer) {
    const {pending} = this;
    this.pending = undefined;
    this.rows = [];
    this.outcome = undefined;
    pending?.(answer);
  }

  close() {
    this.closed = true;
    if (!this.socket.destroyed) this.socket.end('TERMINATE\r\n');
    const {socket} = this;
    setTimeout(() => socket.destroy(), 500).unref();
  }
}
