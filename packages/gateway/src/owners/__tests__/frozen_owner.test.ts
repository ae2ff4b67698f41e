import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {afterEach, describe, expect, it} from 'vitest';
import {PeerServer} from '@pistachiorill/peers';
import {ask, sleep} from '@pistachiorill/tasks';
import {LoopMonitor} from '../../clock/loop_monitor.js';
import {GATEWAY_ROUTER} from '../../peers/gateway_router.js';
import {FakeOwner} from '../../testing/fake_owner.js';
import {SESSION_CONFIGURATION} from '../../testing/fake_session.js';
import type {ExecuteRequest, ForwardAnswer} from '../forward_schema.js';

const PORT = 47_391;

/** A caller in another process; it gives up after 100 ms and resets. */
const CALLER = `
  const http = require('node:http');
  const agent = new http.Agent({keepAlive: true});
  const post = (path, body, timeoutMs) => new Promise(resolve => {
    const req = http.request({
      agent, host: '127.0.0.1', port: ${PORT}, path, method: 'POST',
      headers: {'content-length': Buffer.byteLength(body)},
    });
    const timer = setTimeout(() => {
      req.socket.resetAndDestroy();
      resolve('gave up');
    }, timeoutMs);
    req.on('error', () => {});
    req.on('response', res => {
      clearTimeout(timer);
      res.resume().on('end', () => resolve('answered'));
    });
    req.end(body);
  });
  post('/ping', '', 2000).then(async () => {
    console.log('ready');
    await new Promise(resolve => setTimeout(resolve, 100));
    console.log(await post('/execute', process.argv[1], 100));
  });
`;

const WRITE: ExecuteRequest = {
  id: 'q1',
  command: {kind: 'statement', text: 'WRITE x y'},
  access: 'write',
  values: [],
  remainingMs: 400,
  database: 'wash-db',
  key: 'k1',
  workspace: 'growers',
  caller: 'keyed',
  regions: [],
  position: {kind: 'none'},
  route: SESSION_CONFIGURATION.routes.get('wash-db') as ExecuteRequest['route'],
};

let close: () => void = () => undefined;

afterEach(() => close());

describe('an owner whose process was stopped', () => {
  // Guards against a write that runs after its caller gave it up: the process
  // reads it when it goes on, although the connection was reset.
  it('does not run what arrived meanwhile, and runs what follows', async () => {
    const owner = new FakeOwner(() => SESSION_CONFIGURATION);
    const loop = new LoopMonitor(
      () => performance.now(),
      () => undefined,
    );
    owner.mayReadOldCalls = now => loop.mayReadOldCalls(now);
    const seen: ForwardAnswer[] = [];
    const execute = async (req: ExecuteRequest): Promise<ForwardAnswer> => {
      const answer = await ask<ForwardAnswer>(reply =>
        owner.task.tell({kind: 'execute', req, reply}),
      );
      seen.push(answer);
      return answer;
    };
    const context = {handlers: {execute}};
    const server = new PeerServer({router: GATEWAY_ROUTER, context}, () => {
      // The reset connection.
    });
    await server.listen(`127.0.0.1:${PORT}`);
    const child = spawn(process.execPath, [
      '-e',
      CALLER,
      JSON.stringify(WRITE),
    ]);
    close = () => {
      child.kill('SIGKILL');
      server.close();
      owner.group.close();
    };
    await once(child.stdout, 'data');
    // Nothing of this process runs, as if it were stopped.
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600);
    const [said] = (await once(child.stdout, 'data')) as [Buffer];
    await sleep(50);
    const requests = [...owner.group.member('a').requests];
    await sleep(300);
    const next = await execute(WRITE);
    expect({
      said: said.toString().trim(),
      seen: seen.map(({kind}) => kind),
      requests,
      next: next.kind,
    }).toEqual({
      said: 'gave up',
      seen: ['not-run', 'done'],
      requests: [],
      next: 'done',
    });
  });
});
