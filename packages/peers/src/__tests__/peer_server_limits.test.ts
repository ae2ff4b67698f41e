import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import {createPeerHttpServer} from '../peer_http_server.js';
import {PEER_ROUTER} from '../peer_router.js';

type PeerHttpServer = ReturnType<typeof createPeerHttpServer>;

describe('limits of the server for other VMs', () => {
  const exceeded: string[] = [];
  const sockets: Socket[] = [];
  let server: PeerHttpServer;
  beforeEach(async () => {
    exceeded.length = 0;
    server = createPeerHttpServer(
      {
        router: PEER_ROUTER,
        context: {handlers: {status: () => new Promise(() => {})}},
      },
      () => undefined,
      {
        connections: 3,
        headerTimeoutMs: 60_000,
        requestTimeoutMs: 60_000,
        bodyBytes: 300_000,
        bodiesBytes: 400_000,
        bodyTimeoutMs: 200,
        onExceeded: limit => exceeded.push(limit),
      },
    );
    await new Promise<void>(r => server.listen(0, '127.0.0.1', r));
  });
  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy();
    server.close();
    server.closeAllConnections();
  });

  /** Sends bytes and returns the status lines of what comes until the close. */
  function send(text: string): Promise<string[]> {
    const {port} = server.address() as {port: number};
    const socket = connect(port, '127.0.0.1');
    sockets.push(socket);
    let answer = '';
    socket.on('data', data => (answer += String(data)));
    socket.on('error', () => undefined);
    socket.write(text);
    return new Promise(resolve =>
      socket.once('close', () =>
        resolve(answer.match(/HTTP\/1.1 \d+|"code":"\w+"/g) ?? []),
      ),
    );
  }

  function post(body: string, bytes = body.length): string {
    return (
      'POST /report HTTP/1.1\r\nHost: a\r\nConnection: close\r\n' +
      `Content-Length: ${bytes}\r\n\r\n${body}`
    );
  }

  // Guards against a body over the limit that is read, and against an error
  // that does not say that nothing was executed.
  it('refuses bodies without reading them', async () => {
    const answers = {
      large: await send(post('{}', 300_001)),
      chunked: await send(
        'POST /report HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab',
      ),
      unfinished: await send(post('"', 100_000)),
    };
    expect({answers, exceeded}).toMatchSnapshot();
  });

  // Guards against bodies that together exceed the memory.
  it('lets bodies wait for the memory of others', async () => {
    const answers = await Promise.all([
      send(post('"', 250_000)),
      send(post(`"${'x'.repeat(249_998)}"`)),
      send(post(`"${'x'.repeat(99_998)}"`)),
    ]);
    expect(answers.map(lines => lines[0] ?? 'closed')).toMatchSnapshot();
  });

  // Guards against unused connections that lock out others.
  it('replaces the oldest unused connection', async () => {
    const closed: number[] = [];
    for (const index of [0, 1, 2]) {
      void send('POST /').then(() => closed.push(index));
      await new Promise(resolve => setTimeout(resolve, 30));
    }
    const answer = await send(post('[]'));
    expect({closed, answer: answer[0], exceeded}).toMatchSnapshot();
  });

  // Guards against requests sent ahead without an end.
  it('closes a connection with many unanswered requests', async () => {
    const one = 'POST /status HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n';
    await send(one.repeat(6));
    expect(exceeded).toMatchSnapshot();
  });
});
