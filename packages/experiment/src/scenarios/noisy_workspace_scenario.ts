import type {Profile} from '@pistachiorill/launcher';
import {SCENARIO_RAN, Scenario} from './scenario.js';
import type {ScenarioOutcome} from './scenario.js';

/** Results in five times the rate, as the usual load is half of the rate. */
const LOAD_FACTOR = 10;

/** The first workspace, a large one, sends five times its rate. */
export class NoisyWorkspaceScenario extends Scenario {
  override readonly name = 'noisy-workspace';

  override loadFactors(profile: Profile): ReadonlyMap<string, number> {
    return new Map([[profile.workspaces[0]?.name ?? '', LOAD_FACTOR]]);
  }

  override async inject(): Promise<ScenarioOutcome> {
    return SCENARIO_RAN;
  }
}
