import type {ScenarioRun} from '../scenarios/scenario_run.js';
import {chartSpecs} from './chart_specs.js';
import {checkTable} from './check_table.js';
import {measuresTable, titleOf} from './measures_table.js';
import {renderChart} from './render_chart.js';

const STYLE = `
  body {font: 14px sans-serif; margin: 2em; max-width: 1100px}
  table {border-collapse: collapse; margin: 1em 0}
  td, th {border: 1px solid #ccc; padding: 3px 7px; text-align: right}
  td:first-child, th:first-child {text-align: left}
`;

/** Renders a report as one HTML page that loads no other resources. */
export async function htmlReport(
  runs: readonly ScenarioRun[],
  title: string,
): Promise<string> {
  const measured = runs.filter(run => run.measures);
  const charts = await Promise.all(chartSpecs(measured).map(renderChart));
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>${escape(title)}</title>`,
    `<style>${STYLE}</style></head><body>`,
    `<h1>${escape(title)}</h1>`,
    htmlTable(measuresTable(runs)),
    htmlTable(checkTable(runs)),
    ...charts,
    '<h2>Notes</h2><ul>',
    ...runs.flatMap(run =>
      notesOf(run).map(
        note => `<li>${escape(titleOf(run))}: ${escape(note)}</li>`,
      ),
    ),
    '</ul></body></html>',
  ].join('\n');
}

/** Returns the notes, refusals and example violations of a run. */
export function notesOf(run: ScenarioRun): string[] {
  return [
    ...run.notes,
    ...Object.entries(run.measures?.refusals ?? {}).map(
      ([reason, count]) => `${count} x ${reason}`,
    ),
    ...(run.check?.examples ?? []).map(item => `${item.kind}: ${item.detail}`),
  ];
}

function htmlTable(rows: ReadonlyArray<readonly string[]>): string {
  const [heading = [], ...body] = rows;
  return [
    '<table>',
    `<tr>${heading.map(cell => `<th>${escape(cell)}</th>`).join('')}</tr>`,
    ...body.map(
      row => `<tr>${row.map(cell => `<td>${escape(cell)}</td>`).join('')}</tr>`,
    ),
    '</table>',
  ].join('\n');
}

function escape(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;');
}
