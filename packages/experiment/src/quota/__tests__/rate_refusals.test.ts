import {describe, expect, it} from 'vitest';
import {simulateQuota} from '../quota_simulation.js';
import type {QuotaScenario} from '../quota_simulation.js';
import {rateScenarios} from '../rate_scenarios.js';

const MAX_REFUSED_SHARE = 0.001;

/**
 * Runs a scenario for a shorter time if its fleet is large. The program
 * `measure_rates` runs all scenarios for the full time.
 */
function refusedShare(scenario: QuotaScenario): number {
  const measuredMs = scenario.vms > 8 ? 20_000 : 60_000;
  const {offered, refused} = simulateQuota({...scenario, measuredMs});
  return refused / offered;
}

function isKnownFailure({vms, spread, limits}: QuotaScenario): boolean {
  return vms === 50 && spread === 'all-vms' && limits.rate === 50;
}

describe('refusals within the rate', () => {
  // Guards against a policy that leaves tokens at VMs without statements.
  it.each(rateScenarios('regular', 7))(
    'regular: $limits.rate/s, $vms VMs, $spread',
    scenario => {
      expect(refusedShare(scenario)).toBeLessThan(MAX_REFUSED_SHARE);
    },
  );

  const poisson = rateScenarios('poisson', 7);

  // Guards against the same fault when statements arrive in random bursts.
  it.each(poisson.filter(scenario => !isKnownFailure(scenario)))(
    'poisson: $limits.rate/s, $vms VMs, $spread',
    scenario => {
      expect(refusedShare(scenario)).toBeLessThan(MAX_REFUSED_SHARE);
    },
  );

  // Listed in KNOWN-RED.txt. `it.fails` passes only while the check fails.
  it.fails.each(poisson.filter(isKnownFailure))(
    'known red, poisson: $limits.rate/s, $vms VMs, $spread',
    scenario => {
      expect(refusedShare(scenario)).toBeLessThan(MAX_REFUSED_SHARE);
    },
  );
});
