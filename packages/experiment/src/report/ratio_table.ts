import type {ScenarioRun} from '../scenarios/scenario_run.js';
import {HEADLINE_MEASURES} from './headline_measures.js';
import {titleOf} from './measures_table.js';

/** A run and the reference run that it is compared with. */
export interface ComparedRuns {
  readonly run: ScenarioRun;
  readonly reference: ScenarioRun;
}

/** Pairs each run with an earlier one of the same scenario, policy and profile. */
export function pairWithEarlier(
  runs: readonly ScenarioRun[],
  earlier: readonly ScenarioRun[],
): ComparedRuns[] {
  return runs.flatMap(run => {
    const reference = earlier.find(
      item =>
        item.scenario === run.scenario &&
        item.policy === run.policy &&
        item.profile === run.profile,
    );
    return reference ? [{run, reference}] : [];
  });
}

/** Pairs each baseline run with the run of its scenario by default policies. */
export function pairWithDefault(runs: readonly ScenarioRun[]): ComparedRuns[] {
  return runs
    .filter(run => run.policy !== 'default')
    .flatMap(run => {
      const reference = runs.find(
        item => item.policy === 'default' && item.scenario === run.scenario,
      );
      return reference ? [{run, reference}] : [];
    });
}

/** Returns the rows of a table of ratios, the header first. */
export function ratioTable(pairs: readonly ComparedRuns[]): string[][] {
  return [
    ['ratio', ...HEADLINE_MEASURES.map(measure => measure.title)],
    ...pairs.map(({run, reference}) => [
      titleOf(run),
      ...HEADLINE_MEASURES.map(({value}) =>
        ratio(value(run), value(reference)),
      ),
    ]),
  ];
}

function ratio(now: number | undefined, before: number | undefined): string {
  if (now === undefined || before === undefined) return '-';
  if (before === 0) return now === 0 ? '1.00' : `${round(now)}/0`;
  return (now / before).toFixed(2);
}

function round(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toFixed(3);
}
