import {connect} from 'node:net';
import {afterEach, expect, it} from 'vitest';
import {ProbeServer} from '../probe_server.js';

const PORT = 31_970 + (process.pid % 20);
const WAIT_MS = 300;
let server: ProbeServer | undefined;

afterEach(() => server?.close());

/** Sends text to a server and returns what it responds. */
async function exchange(text: string): Promise<string> {
  let received = '';
  const socket = connect(PORT, '127.0.0.1');
  socket.on('data', chunk => (received += chunk.toString('latin1')));
  socket.on('error', () => undefined);
  const closed = new Promise(resolve => socket.once('close', resolve));
  socket.end(text);
  await Promise.race([
    closed,
    new Promise(resolve => setTimeout(resolve, WAIT_MS)),
  ]);
  socket.destroy();
  return received;
}

// Guards against requests that are kept in memory, and against wrong responses.
it('responds to one request on a connection', async () => {
  const seen: string[] = [];
  server = new ProbeServer(
    'metrics',
    {exceeded: limit => seen.push(limit)},
    (method, path) => {
      if (path === '/fails') throw new Error('fails');
      const contentType = 'text/plain';
      return {status: 200, contentType, body: `${method} ${path}`};
    },
  );
  server.listen(`127.0.0.1:${PORT}`);
  const responses = [
    await exchange('GET / HTTP/1.1\r\nhost: a\r\n\r\n'),
    await exchange('HEAD /a HTTP/1.1\r\n\r\n'),
    await exchange('GET /fails HTTP/1.0\r\n\r\n'),
    await exchange('GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n'),
    await exchange('nonsense\r\n\r\n'),
    await exchange('GET / HTTP/1.1\r\nhost:'),
    await exchange(`GET / HTTP/1.1\r\na: ${'x'.repeat(9_000)}\r\n\r\n`),
  ];
  expect({responses, seen}).toMatchSnapshot();
});
