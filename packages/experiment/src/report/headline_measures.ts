import {violationCount} from '../history/check_history.js';
import type {ScenarioRun} from '../scenarios/scenario_run.js';

/** How a table formats a measure. */
export type Unit = 'percent' | 'ms' | 'count';

/** A measure that is a column of the tables. */
export interface HeadlineMeasure {
  readonly title: string;
  readonly unit: Unit;
  readonly value: (run: ScenarioRun) => number | undefined;
}

/** The five measures of the design, with others that help to explain them. */
export const HEADLINE_MEASURES: readonly HeadlineMeasure[] = [
  {
    title: 'replica reads %',
    unit: 'percent',
    value: run => run.measures?.replicaReadShare,
  },
  {
    title: 'write gap ms',
    unit: 'ms',
    value: run => run.measures?.worstGapMs,
  },
  {
    title: 'worst ws in time %',
    unit: 'percent',
    value: run => run.measures?.worstWorkspace?.inTimeShare,
  },
  {
    title: 'its p99 ms',
    unit: 'ms',
    value: run => run.measures?.worstWorkspace?.p99Ms,
  },
  {
    title: 'wrong refusals %',
    unit: 'percent',
    value: run => run.measures?.wrongRefusalShare,
  },
  {
    title: 'lowest second %',
    unit: 'percent',
    value: run => run.measures?.lowestSecondShare,
  },
  {
    title: 'answered %',
    unit: 'percent',
    value: run => run.measures?.answeredShare,
  },
  {title: 'p50 ms', unit: 'ms', value: run => run.measures?.p50Ms},
  {title: 'p99 ms', unit: 'ms', value: run => run.measures?.p99Ms},
  {
    title: 'interrupted',
    unit: 'count',
    value: run => run.measures?.interruptions,
  },
  {
    title: 'violations',
    unit: 'count',
    value: run => run.check && violationCount(run.check),
  },
  {
    title: 'generator delay ms',
    unit: 'ms',
    value: run => run.generatorDelayMs,
  },
];
