import {MysqlServer, ServerConnection} from '@pistachiorill/mysql';
import {ask} from '@pistachiorill/tasks';
import {expect, it} from 'vitest';
import {BackendTask} from '../backend_task.js';

// Guards against callers that wait until their deadline for an unresponsive
// former primary after another member has replaced it.
it('ends a running statement when it is closed', async () => {
  let onArrival: () => void = () => undefined;
  const arrival = new Promise<void>(resolve => {
    onArrival = resolve;
  });
  const server = new MysqlServer((raw, id) => {
    const connection = new ServerConnection(raw, id, {
      onHandshake: () => undefined,
      onQuery: () => onArrival(),
      onUnsupported: () => undefined,
      onClose: () => undefined,
    });
    connection.handshake('8.0.0');
  });
  const port = await server.listen('127.0.0.1:0');
  const credentials = {user: 'proxy', password: ''};
  const task = new BackendTask(
    'm1',
    `127.0.0.1:${port}`,
    credentials,
    () => {},
  );
  const result = ask(reply =>
    task.tell({kind: 'execute', sql: 'SELECT 1', timeoutMs: 60_000, reply}),
  );
  await arrival;
  task.tell({kind: 'close'});
  expect(await result).toMatchSnapshot();
  server.close();
});
