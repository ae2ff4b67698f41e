/** Simulates how many statements within the rate are refused, by fleet size. */
import {simulateQuota} from '../quota/quota_simulation.js';
import {rateScenarios} from '../quota/rate_scenarios.js';

const SEEDS = [7, 8, 9];

for (const arrivals of ['regular', 'poisson'] as const) {
  const [first = [], ...more] = SEEDS.map(seed =>
    rateScenarios(arrivals, seed),
  );
  first.forEach((scenario, index) => {
    const runs = [scenario, ...more.flatMap(list => list[index] ?? [])];
    const results = runs.map(simulateQuota);
    const offered = results.reduce((sum, item) => sum + item.offered, 0);
    const refused = results.reduce((sum, item) => sum + item.refused, 0);
    const mean = (key: 'requestsPerStatement' | 'waitedMsMean'): string =>
      (
        results.reduce((sum, item) => sum + item[key], 0) / results.length
      ).toFixed(2);
    console.log(
      `| ${scenario.limits.rate} | ${arrivals} | ${scenario.spread} ` +
        `| ${scenario.vms} | ${refused} of ${offered} ` +
        `| ${((100 * refused) / offered).toFixed(3)} % ` +
        `| ${mean('requestsPerStatement')} | ${mean('waitedMsMean')} |`,
    );
  });
}
