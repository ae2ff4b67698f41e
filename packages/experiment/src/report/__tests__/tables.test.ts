import {describe, expect, it} from 'vitest';
import {checkHistory} from '../../history/check_history.js';
import {computeMeasures} from '../../measures/compute_measures.js';
import type {ScenarioRun} from '../../scenarios/scenario_run.js';
import {checkTable} from '../check_table.js';
import {htmlReport} from '../html_report.js';
import {measuresTable} from '../measures_table.js';
import {pairWithDefault, ratioTable} from '../ratio_table.js';
import {textTable} from '../text_table.js';

const MEASURED: ScenarioRun = {
  scenario: 'steady',
  policy: 'default',
  profile: 'authority',
  seed: 1,
  durationMs: 2_000,
  outcome: {kind: 'run'},
  measures: computeMeasures(
    [100, 600, 1_200].map(plannedAt => ({
      workspace: 'a',
      database: 'd1',
      vm: 'v1',
      kind: 'write',
      rate: 'within',
      plannedAt,
      endedAt: plannedAt + 20,
      result: 'answered',
      reason: '',
      interruptions: 0,
    })),
    [{at: 500, replica: 3, primary: 1}],
    {fromMs: 0, toMs: 2_000},
  ),
  check: checkHistory([], new Map()),
  reads: [{at: 500, replica: 3, primary: 1}],
  marks: [{at: 900, label: 'SIGKILL <d1>'}],
  notes: [],
  generatorDelayMs: 5,
};

const RUNS: readonly ScenarioRun[] = [
  MEASURED,
  {...MEASURED, policy: 'reads=primary-only', generatorDelayMs: 10},
  {
    scenario: 'primary-isolated',
    policy: 'default',
    profile: 'authority',
    seed: 1,
    durationMs: 2_000,
    outcome: {kind: 'not-available', reason: 'no hook'},
    reads: [],
    marks: [],
    notes: [],
    generatorDelayMs: 0,
  },
];

// Guards against a table that shows figures for a scenario without its fault,
// and against ratios of the wrong pair of runs.
describe('tables', () => {
  it('show measures, counts and ratios', () => {
    const tables = [
      measuresTable(RUNS),
      checkTable(RUNS),
      ratioTable(pairWithDefault(RUNS)),
    ];
    expect(tables.map(textTable).join('\n\n')).toMatchSnapshot();
  });
});

// Guards against a report that loads resources over the network or contains
// labels that are not escaped.
describe('htmlReport', () => {
  it('is one page without external references', async () => {
    const html = await htmlReport(RUNS, 'title <1>');
    const references = html.match(/(?:src|href)="[^"#]+/g) ?? [];
    expect({
      charts: html.match(/<svg /g)?.length,
      references,
      escaped: html.includes('SIGKILL &lt;d1&gt;'),
    }).toMatchSnapshot();
  });
});
