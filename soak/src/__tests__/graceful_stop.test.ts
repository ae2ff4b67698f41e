import {execFile} from 'node:child_process';
import {mkdtempSync} from 'node:fs';
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

/** Starts one VM; returns a session that serves, with an open transaction. */
async function startTransaction(): Promise<LineClient> {
  const clock = (): number => performance.now();
  standins = await SimulatedPlatform.start(createHistory(), clock);
  const [callers = 0, readiness = 0, peers = 0, metrics = 0] =
    await findFreePorts(4);
  vm = new VmProcess(
    'vm-1',
    {callers, readiness, peers, metrics},
    await standins.createVmEndpoints(),
    join(ROOT, 'target/pistachiorill.mjs'),
    mkdtempSync(join(tmpdir(), 'pistachiorill-stop-')),
  );
  vm.start();
  const until = clock() + START_TIMEOUT_MS;
  for (let attempt = 1; clock() < until; attempt++) {
    const client = await LineClient.open(
      vm.callerAddress,
      databaseName('wash', 'strict'),
      accessKey(WORKSPACES[0], 1),
    );
    await client?.run(`begin-${attempt}`, {kind: 'begin'});
    const write = {kind: 'write', item: 'i', data: 'd'} as const;
    const written = await client?.run(`write-${attempt}`, write);
    if (client && written?.kind === 'complete') return client;
    client?.close();
    await sleep(RETRY_MS);
  }
  throw new Error('the VM serves no transaction');
}

describe('graceful stop', () => {
  // Guards against a process that a second signal ends during its drain, with
  // the requests that it has accepted.
  it.each(['SIGTERM', 'SIGINT'] as const)(
    'completes a transaction after SIGTERM and a second %s',
    async second => {
      const client = await startTransaction();
      vm?.signal('SIGTERM');
      await sleep(SIGNAL_GAP_MS);
      vm?.signal(second);
      await sleep(SIGNAL_GAP_MS);
      const committed = await client.run('commit', {kind: 'commit'});
      expect(committed.kind).toBe('complete');
    },
  );
});
