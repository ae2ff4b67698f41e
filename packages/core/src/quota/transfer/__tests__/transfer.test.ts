import {describe, expect, it} from 'vitest';
import {Random} from '../../../common/random.js';
import {
  requestedPeerCount,
  tokensToRequest,
  tokensToTransfer,
} from '../decide_transfer.js';
import {accrueTokens, emptyBucket, recordDemand} from '../token_bucket.js';
import type {TokenBucket} from '../token_bucket.js';

const LIMIT = {rate: 40, burst: 40};
const VMS = 8;
const SHARE_PPM = 125_000;
const STEP_MS = 20;
const WINDOW_MS = 5_000;

/** Simulates one workspace on eight VMs with a lossy network. */
function simulate(
  seed: number,
  perSecond: number,
  spread: 'one-vm' | 'all-vms',
) {
  const random = new Random(seed);
  const buckets: TokenBucket[] = Array.from({length: VMS}, () =>
    emptyBucket(0),
  );
  const admitted: number[] = [];
  let refused = 0;
  const update = (vm: number, change: (bucket: TokenBucket) => TokenBucket) => {
    const bucket = buckets[vm];
    if (bucket) buckets[vm] = change(bucket);
  };
  for (let now = 0; now < 60_000; now += STEP_MS) {
    for (let vm = 0; vm < VMS; vm++) {
      update(vm, bucket => accrueTokens(bucket, LIMIT, SHARE_PPM, now));
    }
    if (random.fraction() < (perSecond * STEP_MS) / 1_000) {
      const vm = spread === 'one-vm' ? 0 : random.integer(0, VMS - 1);
      update(vm, bucket => recordDemand(bucket, now));
      if ((buckets[vm]?.tokens ?? 0) >= 1) {
        update(vm, bucket => ({...bucket, tokens: bucket.tokens - 1}));
        admitted.push(now);
      } else if (now > 10_000) {
        refused++;
      }
    }
    if (now % 60 !== 0) continue;
    for (let vm = 0; vm < VMS; vm++) {
      const recipient = buckets[vm];
      const donorIndex = random.integer(0, VMS - 1);
      const donor = buckets[donorIndex];
      if (!recipient || !donor || donorIndex === vm) continue;
      const transferred = tokensToTransfer(
        donor,
        tokensToRequest(recipient, 0, now),
        now,
      );
      update(donorIndex, bucket => ({
        ...bucket,
        tokens: bucket.tokens - transferred,
      }));
      // Tokens are lost with an answer that is lost.
      if (random.fraction() < 0.1) continue;
      update(vm, bucket => ({
        ...bucket,
        tokens: Math.min(LIMIT.burst, bucket.tokens + transferred),
      }));
    }
  }
  const maxInWindow = admitted.reduce((max, from, index) => {
    const admittedInWindow = admitted
      .slice(index)
      .filter(at => at < from + WINDOW_MS).length;
    return Math.max(max, admittedInWindow);
  }, 0);
  return {admitted: admitted.length, refused, maxInWindow};
}

describe('token transfer', () => {
  // Guards against VMs that together admit more than rate and burst allow in
  // any window.
  it('keeps to the limit when demand exceeds it (seeds 1 to 12)', () => {
    const bound = (LIMIT.rate * WINDOW_MS) / 1_000 + LIMIT.burst;
    for (let seed = 1; seed <= 12; seed++) {
      for (const spread of ['one-vm', 'all-vms'] as const) {
        expect(simulate(seed, 49, spread).maxInWindow).toBeLessThanOrEqual(
          bound,
        );
      }
    }
  });

  // Guards against a workspace that never gets a token because each VM holds
  // less than one.
  it('combines fractions of a token from several VMs', () => {
    const partialBucket = {...emptyBucket(0), tokens: 0.5};
    const limit = {rate: 4, burst: 4};
    const asked = tokensToRequest(emptyBucket(0), 1, 0);
    const peers = requestedPeerCount(limit, SHARE_PPM, asked, 'rate-holder');
    const given = tokensToTransfer(partialBucket, asked / peers, 0);
    expect({asked, peers, sum: peers * given}).toMatchSnapshot();
    expect(peers * given).toBeGreaterThanOrEqual(1);
  });

  // Guards against refusals within the rate when one VM receives all statements.
  it('transfers tokens to the VM that needs them', () => {
    const runs = [1, 2, 3, 4].map(seed => simulate(seed, 25, 'one-vm'));
    const refused = runs.reduce((sum, run) => sum + run.refused, 0);
    const admitted = runs.reduce((sum, run) => sum + run.admitted, 0);
    expect(refused / admitted).toBeLessThan(0.02);
  });
});
