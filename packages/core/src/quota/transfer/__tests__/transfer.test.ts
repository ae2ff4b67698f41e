import {describe, expect, it} from 'vitest';
import {Random} from '../../../common/random.js';
import {peersToAsk, tokensToAsk, tokensToGive} from '../decide_transfer.js';
import {accrueTokens, emptyBucket, noteDemand} from '../token_bucket.js';
import type {TokenBucket} from '../token_bucket.js';

const LIMIT = {rate: 40, burst: 40};
const VMS = 8;
const SHARE_PPM = 125_000;
const STEP_MS = 20;
const WINDOW_MS = 5_000;

/** Plays one workspace on eight VMs; answers may be lost. */
function play(seed: number, perSecond: number, spread: 'one-vm' | 'all-vms') {
  const random = new Random(seed);
  const buckets: TokenBucket[] = Array.from({length: VMS}, () =>
    emptyBucket(0),
  );
  const admitted: number[] = [];
  let refused = 0;
  const set = (vm: number, change: (bucket: TokenBucket) => TokenBucket) => {
    const bucket = buckets[vm];
    if (bucket) buckets[vm] = change(bucket);
  };
  for (let now = 0; now < 60_000; now += STEP_MS) {
    for (let vm = 0; vm < VMS; vm++) {
      set(vm, bucket => accrueTokens(bucket, LIMIT, SHARE_PPM, now));
    }
    if (random.fraction() < (perSecond * STEP_MS) / 1_000) {
      const vm = spread === 'one-vm' ? 0 : random.integer(0, VMS - 1);
      set(vm, bucket => noteDemand(bucket, now));
      if ((buckets[vm]?.tokens ?? 0) >= 1) {
        set(vm, bucket => ({...bucket, tokens: bucket.tokens - 1}));
        admitted.push(now);
      } else if (now > 10_000) {
        refused++;
      }
    }
    if (now % 60 !== 0) continue;
    for (let vm = 0; vm < VMS; vm++) {
      const asker = buckets[vm];
      const lender = random.integer(0, VMS - 1);
      const giver = buckets[lender];
      if (!asker || !giver || lender === vm) continue;
      const given = tokensToGive(giver, tokensToAsk(asker, 0, now), now);
      set(lender, bucket => ({...bucket, tokens: bucket.tokens - given}));
      // A lost answer loses the tokens.
      if (random.fraction() < 0.1) continue;
      set(vm, bucket => ({
        ...bucket,
        tokens: Math.min(LIMIT.burst, bucket.tokens + given),
      }));
    }
  }
  const most = admitted.reduce((max, from, index) => {
    const within = admitted
      .slice(index)
      .filter(at => at < from + WINDOW_MS).length;
    return Math.max(max, within);
  }, 0);
  return {admitted: admitted.length, refused, most};
}

describe('token transfer', () => {
  // Guards against more than the rate and burst over all VMs in any window.
  it('keeps the limit under any demand (seeds 1 to 12)', () => {
    const bound = (LIMIT.rate * WINDOW_MS) / 1_000 + LIMIT.burst;
    for (let seed = 1; seed <= 12; seed++) {
      for (const spread of ['one-vm', 'all-vms'] as const) {
        expect(play(seed, 49, spread).most).toBeLessThanOrEqual(bound);
      }
    }
  });

  // Guards against a workspace whose part on each VM is less than a token, and
  // which therefore never gets one.
  it('puts a token together from many parts', () => {
    const part = {...emptyBucket(0), tokens: 0.5};
    const limit = {rate: 4, burst: 4};
    const asked = tokensToAsk(emptyBucket(0), 1, 0);
    const peers = peersToAsk(limit, SHARE_PPM, asked);
    const given = tokensToGive(part, asked / peers, 0);
    expect({asked, peers, sum: peers * given}).toMatchSnapshot();
    expect(peers * given).toBeGreaterThanOrEqual(1);
  });

  // Guards against refusals within the rate when one VM gets all statements.
  it('moves tokens to where they are needed', () => {
    const runs = [1, 2, 3, 4].map(seed => play(seed, 25, 'one-vm'));
    const refused = runs.reduce((sum, run) => sum + run.refused, 0);
    const admitted = runs.reduce((sum, run) => sum + run.admitted, 0);
    expect(refused / admitted).toBeLessThan(0.02);
  });
});
