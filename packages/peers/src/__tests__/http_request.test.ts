import {Agent, createServer} from 'node:http';
import type {ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {TransportError, sendHttpRequest} from '../http_request.js';

const TIMEOUT_MS = 100;
const MAX_BYTES = 1_000;
/** Longer than any machine takes, so that its speed decides nothing. */
const AMPLE_TIMEOUT_MS = 60_000;

describe('sendHttpRequest', () => {
  const cleanups: Array<() => void> = [];
  afterEach(() => {
    for (const close of cleanups.splice(0)) close();
  });

  /**
   * A server whose open connections can go silent while new ones work. It answers
   * once it has received the given number of requests.
   */
  async function startServer({
    answer = 'answered',
    answersTogether = 1,
    timeoutMs = TIMEOUT_MS,
  } = {}) {
    const open = new Set<Socket>();
    const silent = new Set<Socket>();
    const waiting: ServerResponse[] = [];
    let next: 'answer' | 'close' = 'answer';
    const server = createServer((req, res) => {
      if (next === 'close') {
        req.socket.resetAndDestroy();
        return;
      }
      if (silent.has(req.socket)) return;
      open.add(req.socket);
      waiting.push(res);
      if (waiting.length < answersTogether) return;
      for (const item of waiting.splice(0)) item.end(answer);
    });
    await new Promise<void>(r => server.listen(0, '127.0.0.1', r));
    const agent = new Agent({keepAlive: true, scheduling: 'lifo'});
    const writes = countWrites(agent);
    cleanups.push(() => {
      agent.destroy();
      server.closeAllConnections();
      server.close();
    });
    const {port} = server.address() as AddressInfo;
    const send = async (): Promise<string> => {
      try {
        const {body} = await sendHttpRequest({
          agent,
          host: '127.0.0.1',
          port,
          path: '/',
          body: 'request',
          timeoutMs,
          signal: undefined,
          maxResponseBytes: MAX_BYTES,
        });
        return body;
      } catch (err) {
        if (err instanceof TransportError) return `${err.kind}: ${err.message}`;
        throw err;
      }
    };
    return {
      send,
      writes,
      closeOnNextRequest: () => {
        next = 'close';
      },
      silenceOpenConnections: () => {
        for (const socket of open) silent.add(socket);
      },
    };
  }

  // Guards against a response that exhausts the memory, and against a limit
  // that is reported as a request that was not sent.
  it('ends a response that is larger than expected', async () => {
    const {send} = await startServer({
      answer: 'x'.repeat(MAX_BYTES + 1),
    });
    const {send: sendSmaller} = await startServer({
      answer: 'x'.repeat(MAX_BYTES),
    });
    expect([await send(), (await sendSmaller()).length]).toMatchSnapshot();
  });

  // Guards against a timeout that is reported as if the server had hung up.
  it('reports a timeout', async () => {
    const {send, silenceOpenConnections} = await startServer();
    await send();
    silenceOpenConnections();
    expect(await send()).toMatchSnapshot();
  });

  // Guards against a timeout for each of several connections that have gone
  // silent together.
  it('opens a new connection after a timeout', async () => {
    const {send, silenceOpenConnections} = await startServer();
    await Promise.all([send(), send(), send()]);
    silenceOpenConnections();
    expect([await send(), await send()]).toMatchSnapshot();
  });

  // Guards against a request that is reported as not sent, and sent again,
  // although the server may have read it before it closed the connection.
  it('reports a connection that is closed on its reuse', async () => {
    const {send, closeOnNextRequest} = await startServer();
    await send();
    closeOnNextRequest();
    expect(await send()).toMatch(/^no-answer/);
  });

  // Guards against the wait for a whole timeout when a server accepts nothing.
  it('ends the wait for a connection', async () => {
    const agent = new Agent();
    const socket = new Socket();
    Object.defineProperty(socket, 'connecting', {value: true});
    agent.createConnection = () => socket;
    const sent = sendHttpRequest({
      agent,
      host: '127.0.0.1',
      port: 1,
      path: '/',
      body: '',
      timeoutMs: 60_000,
      connectTimeoutMs: 10,
      signal: undefined,
    });
    await expect(sent).rejects.toMatchObject({kind: 'unreachable'});
  });

  // Guards against calls that wait for each other on too few connections, and
  // against a pause between the parts of a request (Nagle's algorithm).
  it('sends parallel requests at once', async () => {
    const count = 30;
    const {send, writes} = await startServer({
      answersTogether: count,
      timeoutMs: AMPLE_TIMEOUT_MS,
    });
    const answers = await Promise.all(
      Array.from({length: count}, () => send()),
    );
    expect({answers: [...new Set(answers)], writes}).toMatchSnapshot();
  });

  // Guards against a response without an end that takes the memory of the VM.
  it('gives up a response that is too long', async () => {
    const chunk = Buffer.alloc(4 * 1_048_576);
    let chunks = 0;
    const server = createServer((unused, res) => {
      const write = (): void => {
        if (res.destroyed || chunks++ > 40) res.end();
        else res.write(chunk, write);
      };
      write();
    });
    await new Promise<void>(r => server.listen(0, '127.0.0.1', r));
    const agent = new Agent({keepAlive: true});
    cleanups.push(() => {
      agent.destroy();
      server.closeAllConnections();
      server.close();
    });
    const {port} = server.address() as AddressInfo;
    const ended = await sendHttpRequest({
      ...{agent, host: '127.0.0.1', port, path: '/', body: ''},
      ...{timeoutMs: 10_000, signal: undefined},
    }).then(
      ({body}) => `answered with ${body.length} characters`,
      (err: TransportError) => `${err.kind}: ${err.message}`,
    );
    expect(ended).toBe('no-answer: the response has more than 16777216 bytes');
  });
});

/** Counts the connections that an agent opens and the writes of data to them. */
function countWrites(agent: Agent): {connections: number; writes: number} {
  const counts = {connections: 0, writes: 0};
  const open = agent.createConnection.bind(agent);
  agent.createConnection = (options, onOpen) => {
    const socket = open(options, onOpen);
    counts.connections += 1;
    const write = socket?.write.bind(socket) as Socket['write'];
    if (socket) {
      socket.write = ((...args: Parameters<Socket['write']>) => {
        if (args[0].length > 0) counts.writes += 1;
        return write(...args);
      }) as Socket['write'];
    }
    return socket;
  };
  return counts;
}
