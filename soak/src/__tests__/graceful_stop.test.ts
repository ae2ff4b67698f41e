import {execFile} from 'node:child_process';
import {mkdtempSync} from 'node:fs';
import {connect} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {promisify} from 'node:util';
import {afterEach, beforeAll, describe, expect, it} from 'vitest';
import {findFreePorts} from '@pistachiorill/launcher';
import {
  LineClient,
  SimulatedPlatform,
  WORKSPACES,
  accessKey,
  createHistory,
  databaseName,
} from '@pistachiorill/platform/standins';
import {sleep} from '@pistachiorill/tasks';
import {VmProcess} from '../vm_process.js';

const ROOT = join(import.meta.dirname, '../../..');
const SIGNAL_GAP_MS = 300;
const START_TIMEOUT_MS = 20_000;
const RETRY_MS = 100;
const ANSWER_TIMEOUT_MS = 1_000;

let vm: VmProcess | undefined;
let standins: SimulatedPlatform | undefined;

beforeAll(async () => {
  await promisify(execFile)(process.execPath, ['scripts/build_gateway.mjs'], {
    cwd: ROOT,
  });
});

afterEach(async () => {
  await vm?.end('SIGKILL');
  standins?.close();
});

/** Starts one VM; returns it and a session with an open transaction. */
async function startTransaction(): Promise<{
  started: VmProcess;
  client: LineClient;
}> {
  const clock = (): number => performance.now();
  standins = await SimulatedPlatform.start(createHistory(), clock);
  const [callers = 0, readiness = 0, peers = 0, metrics = 0] =
    await findFreePorts(4);
  const started = new VmProcess(
    'vm-1',
    {callers, readiness, peers, metrics},
    await standins.createVmEndpoints(),
    join(ROOT, 'target/pistachiorill.mjs'),
    mkdtempSync(join(tmpdir(), 'pistachiorill-stop-')),
  );
  vm = started;
  started.start();
  const until = clock() + START_TIMEOUT_MS;
  for (let attempt = 1; clock() < until; attempt++) {
    const client = await LineClient.open(
      started.callerAddress,
      databaseName('wash', 'strict'),
      accessKey(WORKSPACES[0], 1),
    );
    await client?.run(`begin-${attempt}`, {kind: 'begin'});
    const write = {kind: 'write', item: 'i', data: 'd'} as const;
    const written = await client?.run(`write-${attempt}`, write);
    if (client && written?.kind === 'complete') return {started, client};
    client?.close();
    await sleep(RETRY_MS);
  }
  throw new Error('the VM serves no transaction');
}

/** Sends a request at the moment at which the VM ends an idle session. */
function sendAtEnd(vm: VmProcess): Promise<string> {
  const [host, port] = vm.callerAddress.split(':');
  const database = databaseName('wash', 'strict');
  const key = accessKey(WORKSPACES[0], 1);
  let received = '';
  let phase: 'opening' | 'idle' | 'sent' = 'opening';
  return new Promise((resolve, reject) => {
    const socket = connect({host, port: Number(port), allowHalfOpen: true});
    const send = (): void => {
      if (phase === 'sent') return;
      phase = 'sent';
      socket.write('QUERY crossing READ i\r\n');
      setTimeout(() => socket.destroy(), ANSWER_TIMEOUT_MS);
    };
    socket.on('error', reject);
    socket.on('connect', () => socket.write(`STARTUP ${database} ${key}\r\n`));
    socket.on('data', chunk => {
      if (phase !== 'opening') received += chunk.toString('latin1');
      else vm.signal('SIGTERM');
      if (phase === 'idle') send();
      if (phase === 'opening') phase = 'idle';
      // Asked again after the whole refusal.
      if (received.split('ERROR').length > 2) socket.end();
    });
    socket.on('end', send);
    socket.on('close', () => resolve(received));
  });
}

describe('graceful stop', () => {
  // Guards against a request that is cut off without an answer, because it was on
  // its way when the VM ended its session.
  it('answers a request that crosses the end of an idle session', async () => {
    const {started, client} = await startTransaction();
    client.close();
    expect(await sendAtEnd(started)).toMatchInlineSnapshot(`
      "ERROR BUSY retry after 0 ms: this VM stops
      READY I -
      ERROR BUSY retry after 0 ms: this VM stops
      "
    `);
  });

  // Guards against a process that a second signal ends during its drain, with
  // the requests that it has accepted.
  it.each(['SIGTERM', 'SIGINT'] as const)(
    'completes a transaction after SIGTERM and a second %s',
    async second => {
      const {started, client} = await startTransaction();
      started.signal('SIGTERM');
      await sleep(SIGNAL_GAP_MS);
      started.signal(second);
      await sleep(SIGNAL_GAP_MS);
      const committed = await client.run('commit', {kind: 'commit'});
      expect(committed.kind).toBe('complete');
    },
  );
});
