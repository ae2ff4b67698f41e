// A client's session over the line protocol (PROTOCOL.md, "Clients").
import {connect} from 'node:net';
import {performance} from 'node:perf_hooks';
import {cut, readLines} from './lines.mjs';

let lastId = 0;

/** An id that no other request of the run has. */
export function newId() {
  lastId++;
  return `r${lastId.toString(16).padStart(8, '0')}`;
}

export class Session {
  /** Opens a session; undefined if the VM refuses it or does not answer. */
  static async open(address, database, key) {
    const session = new Session(address);
    const answer = await session.send(`STARTUP ${database} ${key}`, 2_000);
    if (answer.kind === 'ready') return session;
    session.close();
    return undefined;
  }

  constructor(address) {
    const [host, port] = address.split(':');
    this.isOpen = true;
    this.socket = connect({host, port: Number(port), noDelay: true});
    this.rows = [];
    this.outcome = undefined;
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isOpen = false;
      this.finish({kind: 'closed'});
    });
    readLines(this.socket, line => this.line(line));
  }

  line(line) {
    // A message while no request is outstanding: the client closes.
    if (!this.resolve) return this.close();
    const [word, rest] = cut(line);
    if (word === 'DATAROW') this.rows.push(rest);
    else if (word === 'COMPLETE')
      this.outcome = {kind: 'done', signature: rest};
    else if (word === 'ERROR') {
      const [code, text] = cut(rest);
      this.outcome = {kind: 'error', code, text};
    } else if (word === 'READY') {
      const [state, position] = cut(rest);
      const outcome = this.outcome ?? {kind: 'ready'};
      this.finish({...outcome, rows: this.rows, state, position});
    }
  }

  finish(answer) {
    const {resolve} = this;
    this.resolve = undefined;
    this.rows = [];
    this.outcome = undefined;
    clearTimeout(this.timer);
    resolve?.({...answer, at: performance.now()});
  }

  /** Sends a line; resolves with its answer, `closed` or `silent`. */
  send(line, timeoutMs) {
    return new Promise(resolve => {
      if (!this.isOpen) return resolve({kind: 'closed', at: performance.now()});
      this.resolve = resolve;
      this.timer = setTimeout(() => {
        this.finish({kind: 'silent'});
        this.close();
      }, timeoutMs);
      this.socket.write(`${line}\r\n`, 'latin1');
    });
  }

  /** Sends a statement. */
  query(id, text, timeoutMs = 2_000) {
    return this.send(`QUERY ${id} ${text}`, timeoutMs);
  }

  close() {
    this.isOpen = false;
    this.socket.destroy();
  }
}
