import {
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {VmEndpoints} from '@pistachiorill/platform/standins';
import {sleep} from '@pistachiorill/tasks';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {VmProcess} from '../vm_process.js';

/** A program that records its process id and runs until it is killed. */
const PROGRAM = `
import {appendFileSync, readFileSync} from 'node:fs';
process.on('SIGTERM', () => undefined);
process.on('SIGHUP', () => {
  const [level] = readFileSync(process.argv.at(-1), 'utf8').match(/level.*/);
  appendFileSync(\`\${process.argv.at(-1)}.levels\`, \`\${level}\\n\`);
});
setInterval(() => undefined, 1_000);
appendFileSync(\`\${process.argv.at(-1)}.pids\`, \`\${process.pid}\\n\`);
`;
/** How long a second process would take to record its id. */
const SECOND_START_MS = 500;
const START_TIMEOUT_MS = 10_000;

const PORTS = {callers: 1, readiness: 2, peers: 3, metrics: 4};
const ENDPOINTS = {storeAddress: '', orderAddress: ''} as VmEndpoints;

describe('VmProcess', () => {
  let folder = '';
  const pidsPath = (): string => join(folder, 'vm-1.ini.pids');
  const pids = (): number[] =>
    readFileSync(pidsPath(), 'utf8').trim().split('\n').map(Number);

  function isRunning(pid: number): boolean {
    try {
      return process.kill(pid, 0);
    } catch {
      // No such process.
      return false;
    }
  }

  function newVm(): VmProcess {
    const program = join(folder, 'program.mjs');
    writeFileSync(program, PROGRAM);
    return new VmProcess('vm-1', PORTS, ENDPOINTS, program, folder);
  }

  const hasStarted = (times: number): Promise<void> =>
    vi.waitFor(
      () => expect(existsSync(pidsPath()) ? pids() : []).toHaveLength(times),
      {timeout: START_TIMEOUT_MS},
    );

  beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), 'vm-process-'));
  });

  afterEach(() => {
    for (const pid of pids().filter(isRunning)) process.kill(pid, 'SIGKILL');
    rmSync(folder, {recursive: true});
  });

  // Guards against a process that outlives the run, because two faults that
  // overlap start the VM one after the other.
  it('starts no second process beside a running one', async () => {
    const vm = newVm();
    vm.start();
    await hasStarted(1);
    vm.start();
    await sleep(SECOND_START_MS);
    await vm.end('SIGKILL');
    expect(pids().map(isRunning)).toMatchSnapshot();
  });

  // Guards against a process that ends by itself and goes unnoticed.
  it('reports and restarts a process that nobody ended', async () => {
    const vm = newVm();
    vm.start();
    await hasStarted(1);
    vm.signal('SIGUSR2');
    await hasStarted(2);
    await vm.end('SIGKILL');
    await sleep(SECOND_START_MS);
    const running = pids().map(isRunning);
    expect({exits: vm.unexpectedExits, running}).toMatchSnapshot();
  });

  // Guards against reloads that change nothing.
  it('changes the settings before each SIGHUP', async () => {
    const vm = newVm();
    vm.start();
    await hasStarted(1);
    const levelsPath = join(folder, 'vm-1.ini.levels');
    const levels = (): readonly string[] =>
      existsSync(levelsPath)
        ? readFileSync(levelsPath, 'utf8').trim().split('\n')
        : [];
    for (const count of [1, 2]) {
      vm.reload();
      await vi.waitFor(() => expect(levels()).toHaveLength(count), {
        timeout: START_TIMEOUT_MS,
      });
    }
    await vm.end('SIGKILL');
    expect(levels()).toMatchSnapshot();
  });

  // Guards against a run that waits for a process that does not stop.
  it('kills a process that outlasts its grace period', async () => {
    const vm = newVm();
    vm.start();
    await hasStarted(1);
    await vm.stop();
    const running = pids().map(isRunning);
    expect({exits: vm.unexpectedExits, running}).toMatchSnapshot();
  });
});
