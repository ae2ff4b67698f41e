import type {QuotaScenario} from './quota_simulation.js';

/** The load of a workspace as a share of its rate. */
const DEMAND_SHARE = 0.9;

/** Returns the scenarios for which the design states a target. */
export function rateScenarios(
  arrivals: QuotaScenario['arrivals'],
  seed: number,
): QuotaScenario[] {
  return [50, 200].flatMap(rate =>
    (['one-vm', 'all-vms'] as const).flatMap(spread =>
      [1, 8, 50].map(vms => ({
        vms,
        limits: {rate, burst: rate},
        demand: rate * DEMAND_SHARE,
        spread,
        arrivals,
        messageDelayMs: 2,
        warmUpMs: 5_000,
        measuredMs: 60_000,
        seed,
      })),
    ),
  );
}
