import {execFile} from 'node:child_process';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {promisify} from 'node:util';
import {beforeAll, describe, expect, it} from 'vitest';
import {runSoak} from '../run_soak.js';

const ROOT = join(import.meta.dirname, '../../..');

/** A short run, and the seeds that once broke a promise with their causes. */
const SEEDS: ReadonlyArray<readonly [number, string]> = [
  [3, 'a short run with faults'],
];

describe('soak', () => {
  beforeAll(async () => {
    await promisify(execFile)(process.execPath, ['scripts/build_gateway.mjs'], {
      cwd: ROOT,
    });
  });

  // Guards against promises that hold only while nothing fails.
  it.each(SEEDS)('seed %i: %s', async seed => {
    const {violations, served} = await runSoak({
      seed,
      lengthMs: 9_000,
      vms: 3,
      callers: 6,
      program: join(ROOT, 'target/pistachiorill.mjs'),
      folder: join(tmpdir(), `pistachiorill-soak-${process.pid}`),
    });
    expect(violations).toEqual([]);
    expect(served).toBeGreaterThan(0);
  });
});
