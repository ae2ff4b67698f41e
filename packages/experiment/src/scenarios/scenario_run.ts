import type {CheckResult} from '../history/check_result.js';
import type {Measures} from '../measures/measures.js';
import type {ReadSample} from '../measures/read_sampler.js';
import type {ScenarioName, ScenarioOutcome} from './scenario.js';

/** An event that the report shows on its time axis. */
export interface TimelineMark {
  /** Milliseconds since the start of the load. */
  readonly at: number;
  readonly label: string;
}

/** The result of one scenario under one policy. */
export interface ScenarioRun {
  readonly scenario: ScenarioName;
  /** `default`, or the name of a baseline. */
  readonly policy: string;
  readonly profile: string;
  readonly seed: number;
  readonly durationMs: number;
  readonly outcome: ScenarioOutcome;
  /** Absent if the fault could not be injected, like `check`. */
  readonly measures?: Measures;
  readonly check?: CheckResult;
  readonly reads: readonly ReadSample[];
  readonly marks: readonly TimelineMark[];
  readonly notes: readonly string[];
  /** p99 of the load generator's event loop delay. */
  readonly generatorDelayMs: number;
}
