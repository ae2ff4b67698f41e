import type {TopLevelSpec} from 'vega-lite';
import type {ScenarioRun} from '../scenarios/scenario_run.js';
import {titleOf} from './measures_table.js';

const WIDTH = 420;
const HEIGHT = 110;

/** Returns the charts of a report; the axis titles state the units. */
export function chartSpecs(runs: readonly ScenarioRun[]): TopLevelSpec[] {
  return [
    answeredPerSecond(runs),
    readsPerSecond(runs),
    latencyByWorkspace(runs),
    gapByDatabase(runs),
  ];
}

function answeredPerSecond(runs: readonly ScenarioRun[]): TopLevelSpec {
  const shares = runs.flatMap(run =>
    (run.measures?.seconds ?? []).map(({second, share}) => ({
      run: titleOf(run),
      second,
      percent: share * 100,
    })),
  );
  const marks = runs.flatMap(run =>
    run.marks.map(({at, label}) => ({
      run: titleOf(run),
      second: at / 1_000,
      label,
    })),
  );
  return {
    title: 'Requests answered in time, by second of their planned arrival',
    data: {values: [...shares, ...marks]},
    facet: {field: 'run', type: 'nominal', title: null},
    columns: 2,
    spec: {
      width: WIDTH,
      height: HEIGHT,
      layer: [
        {
          transform: [{filter: 'isValid(datum.percent)'}],
          mark: {type: 'line', point: true},
          encoding: {
            x: {field: 'second', type: 'quantitative', title: 'second'},
            y: {
              field: 'percent',
              type: 'quantitative',
              title: 'answered in time, %',
              scale: {domain: [0, 100]},
            },
          },
        },
        {
          transform: [{filter: 'isValid(datum.label)'}],
          mark: {type: 'rule', color: 'firebrick', strokeDash: [4, 3]},
          encoding: {x: {field: 'second', type: 'quantitative'}},
        },
        {
          transform: [{filter: 'isValid(datum.label)'}],
          mark: {type: 'text', align: 'left', dx: 3, fontSize: 9, y: 8},
          encoding: {
            x: {field: 'second', type: 'quantitative'},
            text: {field: 'label', type: 'nominal'},
          },
        },
      ],
    },
  };
}

function readsPerSecond(runs: readonly ScenarioRun[]): TopLevelSpec {
  const values = runs.flatMap(run =>
    run.reads.flatMap(({at, replica, primary}) => [
      {run: titleOf(run), second: at / 1_000, reads: replica, by: 'replica'},
      {run: titleOf(run), second: at / 1_000, reads: primary, by: 'primary'},
    ]),
  );
  return {
    title: 'Reads in each sample of 500 ms, by the role of the member',
    data: {values},
    facet: {field: 'run', type: 'nominal', title: null},
    columns: 2,
    spec: {
      width: WIDTH,
      height: HEIGHT,
      mark: 'area',
      encoding: {
        x: {field: 'second', type: 'quantitative', title: 'second'},
        y: {field: 'reads', type: 'quantitative', title: 'reads'},
        color: {field: 'by', type: 'nominal', title: 'served by'},
      },
    },
  };
}

function latencyByWorkspace(runs: readonly ScenarioRun[]): TopLevelSpec {
  const values = runs.flatMap(run =>
    (run.measures?.workspaces ?? []).map(({workspace, p99Ms}) => ({
      run: titleOf(run),
      workspace,
      p99Ms,
    })),
  );
  return {
    title: 'Latency of answered requests by workspace',
    data: {values},
    facet: {field: 'run', type: 'nominal', title: null},
    columns: 2,
    spec: {
      width: WIDTH,
      height: HEIGHT,
      mark: 'bar',
      encoding: {
        x: {field: 'workspace', type: 'nominal', title: null},
        y: {field: 'p99Ms', type: 'quantitative', title: 'p99, ms'},
      },
    },
  };
}

function gapByDatabase(runs: readonly ScenarioRun[]): TopLevelSpec {
  const values = runs.flatMap(run =>
    (run.measures?.gaps ?? []).map(({database, gapMs}) => ({
      run: titleOf(run),
      database,
      gapMs,
    })),
  );
  return {
    title: 'Longest time without an acknowledged write',
    data: {values},
    width: WIDTH,
    mark: 'bar',
    encoding: {
      y: {field: 'run', type: 'nominal', title: null},
      yOffset: {field: 'database', type: 'nominal'},
      x: {field: 'gapMs', type: 'quantitative', title: 'gap, ms'},
      color: {field: 'database', type: 'nominal'},
    },
  };
}
