import type {ScenarioRun} from '../scenarios/scenario_run.js';
import {HEADLINE_MEASURES} from './headline_measures.js';
import type {Unit} from './headline_measures.js';

/** Returns the rows of the table of measures, the header first. */
export function measuresTable(runs: readonly ScenarioRun[]): string[][] {
  return [
    ['scenario', ...HEADLINE_MEASURES.map(measure => measure.title)],
    ...runs.map(run => [
      titleOf(run),
      ...(run.outcome.kind === 'not-available'
        ? [`not available: ${run.outcome.reason}`]
        : HEADLINE_MEASURES.map(({unit, value}) => format(value(run), unit))),
    ]),
  ];
}

/** Returns the name of the scenario, with the policy if it is not the default. */
export function titleOf(run: ScenarioRun): string {
  return run.policy === 'default'
    ? run.scenario
    : `${run.scenario} (${run.policy})`;
}

function format(value: number | undefined, unit: Unit): string {
  if (value === undefined) return '-';
  switch (unit) {
    case 'percent':
      return (value * 100).toFixed(1);
    case 'ms':
      return value.toFixed(value < 100 ? 1 : 0);
    case 'count':
      return String(value);
  }
}
