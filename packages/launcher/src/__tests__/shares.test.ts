import {fileURLToPath} from 'node:url';
import {ledgerKey, parseLedger} from '@pistachiorill/core';
import {HttpTableService} from '@pistachiorill/store';
import {afterAll, beforeAll, describe, expect, it} from 'vitest';
import {Fleet} from '../fleet.js';
import {AUTHORITY_PROFILE} from '../profile.js';

const BUILD_FOLDER = fileURLToPath(
  new URL('../../../../build', import.meta.url),
);
/** A reclaim starts after 10 s and takes another 6.6 s. */
const WAIT_MS = 40_000;
const SAMPLE_MS = 40;
const WHOLE_PPM = 1_000_000;

type Shares = Readonly<Record<string, number>>;

describe('shares of VMs over separate processes', () => {
  const fleet = new Fleet(
    {...AUTHORITY_PROFILE, vmCount: 4, databaseCount: 1},
    BUILD_FOLDER,
  );
  /** The sum of the shares in each row version that was sampled. */
  const sums = new Map<number, number>();

  beforeAll(() => fleet.start());
  afterAll(() => fleet.stop());

  async function readShares(): Promise<Shares> {
    const table = new HttpTableService({
      baseUrl: fleet.platformUrl,
      timeoutMs: 2_000,
    });
    const row = await table.read(ledgerKey('production'));
    if (!row.ok || !row.value) throw new Error('no ledger');
    const {entries} = parseLedger(row.value.value);
    const sum = entries.reduce((total, entry) => total + entry.sharePpm, 0);
    sums.set(row.value.version, sum);
    return Object.fromEntries(entries.map(e => [e.vm, e.sharePpm]));
  }

  /** Samples the row until it meets the condition; returns the last sample. */
  async function sampleUntil(isExpected: (shares: Shares) => boolean) {
    const end = Date.now() + WAIT_MS;
    for (;;) {
      const shares = await readShares();
      if (isExpected(shares) || Date.now() > end) return shares;
      await new Promise(resolve => setTimeout(resolve, SAMPLE_MS));
    }
  }

  function waitUntilEven(vms: readonly string[]): Promise<Shares> {
    const even = Math.floor(WHOLE_PPM / vms.length);
    return sampleUntil(
      shares =>
        Object.keys(shares).length === vms.length &&
        vms.every(vm => shares[vm] === even),
    );
  }

  async function waitUntilHeld(vm: string, held: 'held' | 'not-held') {
    const isHeld = (shares: Shares): boolean => (shares[vm] ?? 0) > 0;
    const shares = await sampleUntil(now => isHeld(now) === (held === 'held'));
    return isHeld(shares) ? 'held' : 'not-held';
  }

  // Guards against a share of a dead or drained VM that is not given to the
  // others, and against shares whose sum exceeds the whole. The VMs drain while
  // the reclaim is pending, which keeps the test short.
  it('redistributes shares when VMs die, drain and return', async () => {
    const [a = '', dead = '', b = '', c = ''] = fleet.vms.map(vm => vm.name);
    const start = await waitUntilEven([a, b, c, dead]);
    await fleet.vms[1]?.child.kill();
    await fleet.promote({dataCentresOut: ['warner-c']});
    const out = await waitUntilHeld(c, 'not-held');
    await fleet.promote();
    const back = await waitUntilHeld(c, 'held');
    await fleet.publishVmList(fleet.vms, [a]);
    const leaving = await waitUntilHeld(a, 'not-held');
    await fleet.publishVmList();
    const live = await waitUntilHeld(a, 'held');
    const end = await waitUntilEven([a, b, c]);
    expect({start, out, back, leaving, live, end}).toMatchSnapshot();
    const excess = [...sums].filter(([, sum]) => sum > WHOLE_PPM);
    expect(excess).toEqual([]);
  });
});
