import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {VmEndpoints} from '@pistachiorill/platform/standins';
import {sleep} from '@pistachiorill/tasks';
import {afterEach, describe, expect, it, vi} from 'vitest';
import {VmProcess} from '../vm_process.js';

/** A program that records its process id and runs until it is killed. */
const PROGRAM = `
import {appendFileSync} from 'node:fs';
appendFileSync(\`\${process.argv.at(-1)}.pids\`, \`\${process.pid}\\n\`);
setInterval(() => undefined, 1_000);
`;
/** How long a second process would take to record its id. */
const SECOND_START_MS = 500;

const PORTS = {callers: 1, readiness: 2, peers: 3, metrics: 4};
const ENDPOINTS = {storeAddress: '', orderAddress: ''} as VmEndpoints;

describe('VmProcess', () => {
  const folder = mkdtempSync(join(tmpdir(), 'vm-process-'));
  const pids = (): number[] =>
    readFileSync(join(folder, 'vm-1.ini.pids'), 'utf8')
      .trim()
      .split('\n')
      .map(Number);

  function isRunning(pid: number): boolean {
    try {
      return process.kill(pid, 0);
    } catch {
      // No such process.
      return false;
    }
  }

  afterEach(() => {
    for (const pid of pids().filter(isRunning)) process.kill(pid, 'SIGKILL');
    rmSync(folder, {recursive: true});
  });

  // Guards against a process that outlives the run, because two faults that
  // overlap start the VM one after the other.
  it('starts no second process beside a running one', async () => {
    const program = join(folder, 'program.mjs');
    writeFileSync(program, PROGRAM);
    const vm = new VmProcess('vm-1', PORTS, ENDPOINTS, program, folder);
    vm.start();
    await vi.waitFor(() => expect(pids()).toHaveLength(1), {timeout: 10_000});
    vm.start();
    await sleep(SECOND_START_MS);
    await vm.end('SIGKILL');
    expect(pids().map(isRunning)).toMatchSnapshot();
  });
});
