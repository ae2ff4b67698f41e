import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {ServerConnection} from '../server_connection.js';
import type {RawServerConnection} from '../server_connection.js';

/** A client socket that records how the connection ends it. */
class FakeStream extends EventEmitter {
  readonly actions: string[] = [];
  writableNeedDrain = false;
  setNoDelay(): void {}
  setKeepAlive(): void {}
  end(): void {
    this.actions.push('end');
  }
  destroy(): void {
    this.actions.push('destroy');
  }
}

type Authenticate = (req: object, done: () => void) => void;

class FakeRawConnection extends EventEmitter {
  readonly stream = new FakeStream();
  private authenticate: Authenticate = () => {};
  serverHandshake(args: {authCallback: Authenticate}): void {
    this.authenticate = args.authCallback;
  }
  writeColumns(): void {}
  writeEof(): void {}
  writeOk(): void {}
  close(): void {}
  // eslint-disable-next-line @typescript-eslint/naming-convention -- mysql2 names it so.
  _resetSequenceId(): void {}
  sendCredentials(): void {
    const part = Buffer.alloc(12);
    this.authenticate({authPluginData1: part, authPluginData2: part}, () => {});
  }
  sequenceId = 0;
  writePacket(packet: {buffer: Buffer}): void {
    const text = packet.buffer.subarray(7).toString();
    this.stream.actions.push(`packet ${this.sequenceId} ${text}`);
  }
}

function open(): {raw: FakeRawConnection; connection: ServerConnection} {
  const raw = new FakeRawConnection();
  const connection = new ServerConnection(
    raw as unknown as RawServerConnection & {stream: Socket},
    1,
    {
      onHandshake: () => undefined,
      onQuery: sql => raw.stream.actions.push(`query ${sql}`),
      onUnsupported: () => undefined,
      onClose: () => raw.stream.actions.push('closed'),
    },
  );
  connection.handshake('8.0.0');
  return {raw, connection};
}

describe('ServerConnection', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  // Guards against connections that never authenticate and stay open forever.
  it('disconnects a client that sends no credentials', () => {
    const {raw} = open();
    vi.advanceTimersByTime(10_000);
    expect(raw.stream.actions).toMatchSnapshot();
  });

  // Guards against a response that stays in memory because the client does not
  // read it.
  it('disconnects a client that does not read its response', () => {
    const {raw, connection} = open();
    raw.sendCredentials();
    raw.stream.writableNeedDrain = true;
    connection.sendResult({kind: 'done', affectedRows: 0, insertId: 0});
    connection.sendResult({kind: 'rows', columns: [], rows: []});
    vi.advanceTimersByTime(30_000);
    expect(raw.stream.actions).toMatchSnapshot();
  });

  // Guards against a request that exhausts the memory of the process.
  it('disconnects a client whose request is too large', () => {
    const {raw} = open();
    for (let sent = 0; sent < 3; sent += 1) {
      raw.stream.emit('data', Buffer.alloc(6_000_000));
    }
    expect(raw.stream.actions).toMatchSnapshot();
  });

  // Guards against a byte count that accumulates over several requests, so
  // that a client is disconnected although each request is within the limit.
  it('resets the byte count with each request', () => {
    const {raw} = open();
    for (let sent = 0; sent < 3; sent += 1) {
      raw.stream.emit('data', Buffer.alloc(6_000_000));
      raw.emit('query', 'SELECT 1');
    }
    expect(raw.stream.actions).toMatchSnapshot();
  });

  // Guards against a request without a response after a planned stop: the
  // client sends it before it sees the close, and must receive an error that
  // states that the request did not run.
  it('sends an error for a request that crosses with the close', () => {
    const {raw, connection} = open();
    raw.sendCredentials();
    connection.closeWithError({
      errno: 1040,
      sqlState: '08004',
      message: 'not run: draining',
    });
    raw.emit('query', 'INSERT');
    expect(raw.stream.actions).toMatchSnapshot();
  });
});
