import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {ServerConnection} from '../server_connection.js';
import type {RawServerConnection} from '../raw_server_connection.js';

/** A client socket that records how the connection ends it. */
class FakeStream extends EventEmitter {
  readonly actions: string[] = [];
  writableNeedDrain = false;
  setNoDelay(): void {}
  setKeepAlive(): void {}
  writableLength = 0;
  pause(): void {
    this.actions.push('pause');
  }
  resume(): void {}
  isPaused(): boolean {
    return false;
  }
  end(): void {
    this.actions.push('end');
  }
  destroy(): void {
    this.actions.push('destroy');
  }
}

function queryPacket(sql: string, bytes = sql.length): Buffer {
  const packet = Buffer.alloc(5 + bytes, ' ');
  packet.writeUIntLE(1 + bytes, 0, 3);
  packet[3] = 0;
  packet[4] = 3;
  packet.write(sql, 5);
  return packet;
}

/** A login as far as the connection reads it. */
const LOGIN_PACKET = Buffer.of(1, 0, 0, 1, 0);

type Authenticate = (req: object, done: () => void) => void;

class FakeRawConnection extends EventEmitter {
  readonly stream = new FakeStream();
  /** Stands for mysql2, which emits each query that it parses. */
  readonly parsed = {
    execute: (packet: Buffer): void => {
      this.emit('query', packet.subarray(5).toString());
    },
  };
  packetParser: {execute(chunk: Buffer): void} = this.parsed;
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
    const {execute} = this.parsed;
    this.parsed.execute = () => {
      this.parsed.execute = execute;
      const req = {authPluginData1: part, authPluginData2: part};
      this.authenticate(req, () => {});
    };
    this.receive(LOGIN_PACKET);
  }
  receive(chunk: Buffer): void {
    this.packetParser.execute(chunk);
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
    vi.advanceTimersByTime(10_001);
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
    vi.advanceTimersByTime(30_001);
    expect(raw.stream.actions).toMatchSnapshot();
  });

  // Guards against a request that exhausts the memory of the process, also when
  // it comes in packets that continue each other.
  it('disconnects a client whose request is too large', () => {
    const {raw} = open();
    raw.sendCredentials();
    vi.advanceTimersByTime(1);
    raw.receive(Buffer.of(0xff, 0xff, 0xff, 0));
    for (let sent = 0; sent < 3; sent += 1) {
      raw.receive(Buffer.alloc(6_000_000));
    }
    expect(raw.stream.actions).toMatchSnapshot();
  });

  // Guards against a byte count that accumulates over several requests, so
  // that a client is disconnected although each request is within the limit.
  it('resets the byte count with each request', () => {
    const {raw, connection} = open();
    raw.sendCredentials();
    vi.advanceTimersByTime(1);
    for (let sent = 0; sent < 3; sent += 1) {
      raw.receive(queryPacket('SELECT 1', 6_000_000));
      connection.sendResult({kind: 'done', affectedRows: 0, insertId: 0});
      vi.advanceTimersByTime(1);
    }
    expect(raw.stream.actions.map(text => text.trim())).toMatchSnapshot();
  });

  // Guards against requests that are handled before the preceding one is
  // answered, and against reading on while they wait.
  it('handles one request at a time', () => {
    const {raw, connection} = open();
    raw.sendCredentials();
    vi.advanceTimersByTime(1);
    raw.receive(Buffer.concat([queryPacket('A'), queryPacket('B')]));
    raw.stream.writableNeedDrain = true;
    connection.sendResult({kind: 'done', affectedRows: 0, insertId: 0});
    vi.advanceTimersByTime(1);
    raw.stream.actions.push('drain');
    raw.stream.emit('drain');
    vi.advanceTimersByTime(1);
    expect(raw.stream.actions).toMatchSnapshot();
  });

  // Guards against a packet that stops half-way and holds its connection.
  it('disconnects a client that stops within a packet', () => {
    const {raw} = open();
    raw.sendCredentials();
    vi.advanceTimersByTime(1);
    raw.receive(queryPacket('SELECT 1').subarray(0, 6));
    vi.advanceTimersByTime(30_001);
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
