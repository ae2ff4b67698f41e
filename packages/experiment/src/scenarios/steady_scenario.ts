import {SCENARIO_RAN, Scenario} from './scenario.js';
import type {ScenarioOutcome} from './scenario.js';

/** No fault; each workspace sends half of its rate. */
export class SteadyScenario extends Scenario {
  override readonly name = 'steady';

  override async inject(): Promise<ScenarioOutcome> {
    return SCENARIO_RAN;
  }
}
