import type {ViolationKind} from '../history/check_result.js';
import type {ScenarioRun} from '../scenarios/scenario_run.js';
import {titleOf} from './measures_table.js';

/** Returns the rows of a table with the checker's counts, the header first. */
export function checkTable(runs: readonly ScenarioRun[]): string[][] {
  const checked = runs.flatMap(run =>
    run.check ? [{...run, check: run.check}] : [],
  );
  const kinds = Object.keys(checked[0]?.check.counts ?? {}) as ViolationKind[];
  return [
    ['checker', 'writes', 'acknowledged', 'unknown', 'reads', ...kinds],
    ...checked.map(({check, ...run}) => [
      titleOf(run),
      ...[check.writes, check.acknowledged, check.unknown, check.reads].map(
        String,
      ),
      ...kinds.map(kind => String(check.counts[kind])),
    ]),
  ];
}
