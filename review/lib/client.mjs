import {createConnection} from 'node:net';
import {randomBytes} from 'node:crypto';
import {sleep} from './util.mjs';

const OPEN_TIMEOUT_MS = 2_000;

/** A client's session over the line protocol. */
export class Session {
  #input = '';
  #rows = [];
  #outcome;
  #pending;

  constructor(address) {
    const [host, port] = address.split(':');
    this.isClosed = false;
    this.socket = createConnection({host, port: Number(port), noDelay: true});
    this.socket.on('data', chunk => this.#receive(chunk.toString('latin1')));
    this.socket.on('error', () => this.#closed());
    this.socket.on('close', () => this.#closed());
    this.socket.on('end', () => this.#closed());
  }

  /** Opens a session; undefined if it is refused. */
  static async open(address, database, key) {
    const session = new Session(address);
    const line = `STARTUP ${database} ${key}`;
    const answer = await session.#exchange(line, OPEN_TIMEOUT_MS);
    if (answer.kind === 'ready') return session;
    session.close();
    return undefined;
  }

  query(id, text, timeoutMs) {
    return this.#exchange(`QUERY ${id} ${text}`, timeoutMs);
  }

  close() {
    this.#closed();
  }

  #exchange(line, timeoutMs) {
    if (this.isClosed) return Promise.resolve({kind: 'none', code: 'closed'});
    return new Promise(resolve => {
      const timer = setTimeout(() => this.#closed('deadline'), timeoutMs);
      this.#pending = answer => {
        clearTimeout(timer);
        this.#pending = undefined;
        this.#outcome = undefined;
        this.#rows = [];
        resolve(answer);
      };
      this.socket.write(`${line}\r\n`, 'latin1');
    });
  }

  #receive(text) {
    this.#input += text;
    let end = this.#input.indexOf('\r\n');
    while (end >= 0) {
      const line = this.#input.slice(0, end);
      this.#input = this.#input.slice(end + 2);
      this.#line(line);
      end = this.#input.indexOf('\r\n');
    }
  }

  #line(line) {
    const [word, ...rest] = line.split(' ');
    // Any message without a request under way closes the session.
    if (!this.#pending) return this.#closed();
    switch (word) {
      case 'DATAROW':
        this.#rows.push(rest.join(' '));
        return undefined;
      case 'COMPLETE':
        this.#outcome = {kind: 'success', signature: rest[0], rows: this.#rows};
        return undefined;
      case 'ERROR':
        this.#outcome = {kind: 'error', code: rest[0], text: rest.join(' ')};
        return undefined;
      case 'READY':
        return this.#pending?.(this.#outcome ?? {kind: 'ready'});
      default:
        return this.#closed();
    }
  }

  #closed(code = 'cut') {
    this.isClosed = true;
    this.socket.destroy();
    this.#pending?.(this.#outcome ?? {kind: 'none', code});
  }
}

/** Repeats a statement in one session after the other, and records each. */
export class Client {
  #state = 'running';

  constructor(options) {
    this.options = options;
  }

  /** Runs until it is stopped. */
  async run() {
    const {address, database, key, next, pauseMs, deadlineMs} = this.options;
    const {record, clock} = this.options;
    let session;
    while (this.#state === 'running') {
      if (!session || session.isClosed) {
        session = await Session.open(address, database, key);
        if (!session) {
          await sleep(100);
          continue;
        }
      }
      const id = randomBytes(8).toString('hex');
      const text = next(id);
      const sentAt = clock();
      const answer = await session.query(id, text, deadlineMs);
      const answeredAt = clock();
      record.push({id, address, database, text, sentAt, answeredAt, answer});
      await sleep(answer.kind === 'success' ? pauseMs() : 50);
    }
    session?.close();
  }

  stop() {
    this.#state = 'stopped';
  }
}
