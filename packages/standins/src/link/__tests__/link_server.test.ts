import {createConnection, createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {once} from 'node:events';
import {expect, it} from 'vitest';
import {LinkServer} from '../link_server.js';

// Guards against a cut link that still delivers data, and against an open one
// that lost the data sent during the cut.
it('buffers data during a cut and delivers it afterwards', async () => {
  const echo = createServer(socket => socket.pipe(socket));
  echo.listen(0, '127.0.0.1');
  await once(echo, 'listening');
  const {port} = echo.address() as AddressInfo;
  const {port: linkPort, server} = await LinkServer.start(
    '127.0.0.1:0',
    `127.0.0.1:${port}`,
    {state: 'open', delayMs: 2, cutSources: []},
  );
  const client = createConnection(linkPort, '127.0.0.1');
  client.setEncoding('utf8');
  const events: string[] = [];
  client.on('data', text => events.push(`received ${String(text)}`));

  client.write('one');
  await once(client, 'data');
  server.change({state: 'cut'});
  client.write('two');
  await new Promise(resolve => setTimeout(resolve, 30));
  events.push('healed');
  server.change({state: 'open'});
  await once(client, 'data');

  server.change({cutSources: ['127.0.0.9']});
  const other = createConnection({port: linkPort, localAddress: '127.0.0.9'});
  other.setEncoding('utf8');
  other.on('data', text => events.push(`other received ${String(text)}`));
  other.write('four');
  client.write('three');
  await once(client, 'data');
  server.change({cutSources: []});
  await once(other, 'data');

  other.destroy();
  client.destroy();
  server.close();
  echo.close();
  expect(events).toMatchSnapshot();
});
