import {readFileSync} from 'node:fs';
import {expect, it} from 'vitest';
import {GatewayMetrics} from '../gateway_metrics.js';

// Guards against an alert that can never fire because its metric was renamed.
it('exports every metric of the gateway that the alert rules use', () => {
  const rules = readFileSync(
    new URL('../../../../../docs/operators/alerts.rules.yml', import.meta.url),
    'utf8',
  );
  const exportedNames = new GatewayMetrics().registry
    .getMetricsAsArray()
    .map(metric => metric.name);
  const metricNamesInRules = [
    ...rules.matchAll(/pistachiorill_gateway_\w+/g),
  ].map(([name]) => name.replace(/_bucket$/, ''));
  expect(metricNamesInRules.length).toBeGreaterThan(0);
  expect(
    metricNamesInRules.filter(name => !exportedNames.includes(name)),
  ).toEqual([]);
});
