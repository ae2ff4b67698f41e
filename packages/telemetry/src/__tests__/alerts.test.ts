import {readFileSync} from 'node:fs';
import {expect, it} from 'vitest';
import {Metrics} from '../metrics.js';

// Guards against an alert that can never fire because its metric was renamed.
it('exports every metric that the alert rules use', () => {
  const rules = readFileSync(
    new URL('../../../../docs/operators/alerts.rules.yml', import.meta.url),
    'utf8',
  );
  const exportedNames = new Metrics().registry
    .getMetricsAsArray()
    .map(metric => metric.name);
  const metricNamesInRules = [...rules.matchAll(/pistachiorill_\w+/g)]
    .map(([name]) => name.replace(/_bucket$/, ''))
    // Checked in packages/gateway.
    .filter(name => !name.startsWith('pistachiorill_gateway_'));
  expect(metricNamesInRules.length).toBeGreaterThan(0);
  expect(
    metricNamesInRules.filter(name => !exportedNames.includes(name)),
  ).toEqual([]);
});
